// Package wharffrontend serves callers of routes: it forwards online requests and takes and returns batch jobs.
package wharffrontend

// Package wharffrontend serves callers of configured routes: it forwards online requests to endpoints, accepts batch
// jobs and returns their results.
package wharffrontend

// Package wharfresults implements "job results", which prints the results of a batch job.
package wharfresults

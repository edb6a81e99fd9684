// Package wharfjobs accepts input files and batch jobs, and reads, cancels and returns the results of jobs.
package wharfjobs

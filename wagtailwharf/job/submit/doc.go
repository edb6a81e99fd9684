// Package wharfsubmit implements "job submit", which submits a batch job.
package wharfsubmit

// Package wharfstatus implements "job status", which shows a batch job.
package wharfstatus

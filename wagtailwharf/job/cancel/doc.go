// Package wharfcancel implements "job cancel", which cancels a batch job.
package wharfcancel

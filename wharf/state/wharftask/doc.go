// Package wharftask defines the stored records of batch jobs: the row of a job, the progress of its items and their
// results.
package wharftask

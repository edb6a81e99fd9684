// Package wharfjobstore keeps batch jobs in the store. It accepts each job once, appends results in an order that never
// changes, ends jobs, and records which host runs a job.
//
// Every change to a job is a transaction conditioned on the version of the job's row. The owner of a job is only a
// hint: two hosts that run the same items waste work, but only one of them can append each result.
package wharfjobstore

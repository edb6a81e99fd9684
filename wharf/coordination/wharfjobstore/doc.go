// Package wharfjobstore keeps batch jobs in the store: it accepts them once, lists their results in an order that never
// changes, ends them, and tells each host which jobs are its to run.
//
// Every change of a job is a transaction on the version of the job's row. Who runs a job is a hint: two hosts that run
// the same items cost something, but only one of them can list each result.
package wharfjobstore

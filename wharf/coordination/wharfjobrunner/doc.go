// Package wharfjobrunner runs the items of batch jobs: it starts them in slots that online requests leave free,
// preempts them when online requests arrive, resumes them after their last event, and writes their results.
package wharfjobrunner

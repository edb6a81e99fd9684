// Package wharfbatch claims chunks of batch jobs, runs their items on endpoints and commits the results.
package wharfbatch

// Package wharfbatchexecutor runs the items of batch jobs on endpoints, for wharfbatch.
package wharfbatchexecutor

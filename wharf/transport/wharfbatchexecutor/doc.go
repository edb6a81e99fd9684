// Package wharfbatchexecutor runs the items of batch jobs on endpoints.
package wharfbatchexecutor

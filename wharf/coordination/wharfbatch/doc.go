// Package wharfbatch claims chunks of batch jobs and completes their items.
package wharfbatch

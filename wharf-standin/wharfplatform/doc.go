// Package wharfplatform simulates the platform's table, object store, weight store and host list in memory.
package wharfplatform

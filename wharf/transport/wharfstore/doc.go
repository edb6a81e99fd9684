// Package wharfstore is the client of the platform's table and object store.
package wharfstore

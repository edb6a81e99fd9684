// Package wharfmemorystore is a store in memory for stand-ins and tests, with the faults that stores have.
package wharfmemorystore

// Package wharfmemorystore implements an in-memory wharfrecords.Store with fault injection, for stand-ins and tests.
package wharfmemorystore

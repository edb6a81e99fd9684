// Package wharfrecords defines the interface to a store of versioned rows, with conditional transactions, a change feed
// and immutable objects.
package wharfrecords

// Package wharfevents reads the data of server-sent events from a stream that ends with a [DONE] event.
package wharfevents

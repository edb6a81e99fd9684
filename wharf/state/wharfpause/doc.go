// Package wharfpause waits for a length of time or the end of a context.
package wharfpause

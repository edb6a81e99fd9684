// Package wharfwatch implements "job watch", which waits for a batch job to end.
package wharfwatch

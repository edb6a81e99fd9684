// Package wharfframes splits a stream of server-sent events into whole events without changing their bytes.
package wharfframes

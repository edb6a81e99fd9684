// Package wharfevents reads streams of server-sent events.
package wharfevents

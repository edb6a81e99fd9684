// Package wharfpause provides a sleep that a context can interrupt.
package wharfpause

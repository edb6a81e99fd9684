// Package wharfcontrol runs the one goroutine that owns control state.
package wharfcontrol

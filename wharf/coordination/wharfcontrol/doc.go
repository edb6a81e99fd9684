// Package wharfcontrol runs the event loop whose goroutine owns the control state.
package wharfcontrol

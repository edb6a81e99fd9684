// Package wharfprober connects to endpoints that could not be reached, so that no caller's request has to find out
// whether they are back. It sends no request: health checks take a slot.
package wharfprober

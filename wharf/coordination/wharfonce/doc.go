// Package wharfonce reserves requests that may not be repeated.
package wharfonce

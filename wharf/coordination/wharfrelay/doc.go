// Package wharfrelay relays calls to the store through other hosts while the store is unavailable to this one.
package wharfrelay

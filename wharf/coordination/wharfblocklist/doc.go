// Package wharfblocklist keeps in the store which requests are blocked because they crash endpoints, for hosts that start or
// are cut off from the others.
package wharfblocklist

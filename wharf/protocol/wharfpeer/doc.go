// Package wharfpeer holds the net/rpc methods between daemons.
package wharfpeer

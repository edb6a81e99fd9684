// Package wharfpeer implements the net/rpc client and server for calls between daemons.
package wharfpeer

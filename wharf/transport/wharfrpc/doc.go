// Package wharfrpc carries net/rpc calls between daemons over authenticated, pooled connections.
package wharfrpc

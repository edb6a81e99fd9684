// Package wharfdialer opens TCP connections that fail soon after the peer becomes unreachable.
package wharfdialer

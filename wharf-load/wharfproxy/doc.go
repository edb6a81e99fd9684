// Package wharfproxy relays TCP connections and UDP datagrams, and injects network faults into them.
package wharfproxy

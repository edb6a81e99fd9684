// Package wharflatency implements "host latency", which shows the latencies that a host has measured.
package wharflatency

// Package wharfmetrics records latency histograms by organisation and class, and counters.
package wharfmetrics

// Package wharfmetrics holds latency histograms by organisation and class.
package wharfmetrics

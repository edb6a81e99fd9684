// Package wharfexperiment applies open-loop load and faults to a deployment and measures what callers observe.
package wharfexperiment

// Package wharfexperiment puts open-loop load and faults on a deployment and measures what callers see.
package wharfexperiment

// Package wharfseries runs the soak for a series of seeds, several in parallel, and reports the outcome of each.
package wharfseries

// Package wharfentry serves the callers' interface.
package wharfentry

// Package wharfapi holds the wire shapes of the callers' inference interface.
package wharfapi

// Package wharfoperator serves the operators' interface.
package wharfoperator

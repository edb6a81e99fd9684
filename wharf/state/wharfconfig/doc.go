// Package wharfconfig defines the configuration bundle that operators sign and apply.
package wharfconfig

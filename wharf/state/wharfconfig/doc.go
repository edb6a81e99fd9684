// Package wharfconfig holds the configuration bundle that operators sign and apply.
package wharfconfig

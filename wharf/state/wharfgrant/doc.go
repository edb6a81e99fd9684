// Package wharfgrant holds the tokens that a daemon has drawn and not yet spent.
package wharfgrant

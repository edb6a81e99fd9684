// Package wharfgrant holds the rate-limit tokens that a daemon has been granted and has not spent yet.
package wharfgrant

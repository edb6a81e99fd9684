// Package wharfcreate implements "key create", which creates a caller's key and adds its hash to a bundle file.
package wharfcreate

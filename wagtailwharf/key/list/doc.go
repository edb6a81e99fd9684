// Package wharflist implements "key list", which lists the keys of a bundle file.
package wharflist

// Package wharfwithdraw implements "key withdraw", which removes a caller's key from a bundle file.
package wharfwithdraw

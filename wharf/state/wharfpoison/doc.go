// Package wharfpoison tracks poison requests, which crash the endpoints that run them.
package wharfpoison

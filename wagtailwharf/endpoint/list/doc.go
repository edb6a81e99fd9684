// Package wharflist implements "endpoint list", which lists the endpoints.
package wharflist

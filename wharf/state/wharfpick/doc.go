// Package wharfpick chooses the endpoint of a request.
package wharfpick

// Package wharfbody reads the bodies of requests of callers that need not keep to any limit. It reserves memory before it
// reads, in steps, and bounds the size and the time of each body.
package wharfbody

// Package wharfcall describes a request that is forwarded to an endpoint without parsing its body.
package wharfcall

// Package wharfpermit limits the batch requests on an endpoint to the capacity that its online requests leave.
package wharfpermit

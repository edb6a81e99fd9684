// Package wharfpermit decides how many batch requests may run on an endpoint beside its online requests.
package wharfpermit

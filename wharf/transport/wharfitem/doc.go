// Package wharfitem runs the items of batch jobs on endpoints.
package wharfitem

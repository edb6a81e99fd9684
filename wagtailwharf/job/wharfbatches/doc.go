// Package wharfbatches fetches and prints the batch objects of the caller API.
package wharfbatches

// Package wharfquota owns quota shards and draws tokens from their owners.
package wharfquota

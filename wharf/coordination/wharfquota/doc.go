// Package wharfquota enforces organisations' rates with token buckets. The buckets are divided into shards, each owned
// by one host of a zone, and hosts draw tokens from the owners.
package wharfquota

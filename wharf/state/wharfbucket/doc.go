// Package wharfbucket holds the token bucket of one organisation in one availability zone.
package wharfbucket

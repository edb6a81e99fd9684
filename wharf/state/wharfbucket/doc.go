// Package wharfbucket implements the token bucket of one organisation in one availability zone.
package wharfbucket

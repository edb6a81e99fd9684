// Package wharfmember joins a host to its availability zone and renews its lease.
package wharfmember

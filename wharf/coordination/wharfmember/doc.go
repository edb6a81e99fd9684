// Package wharfmember joins a host to its availability zone and keeps its lease.
package wharfmember

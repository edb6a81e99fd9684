// Package wharfmember joins a host to its availability zone, renews its lease and reclaims the membership of silent
// hosts.
package wharfmember

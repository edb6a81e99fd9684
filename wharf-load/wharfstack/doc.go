// Package wharfstack starts a whole deployment with its stand-ins as plain processes on loopback addresses.
package wharfstack

// Package wharfcheck implements "config check", which finds mistakes in a configuration before it is sent, and its
// differences from the version in force.
package wharfcheck

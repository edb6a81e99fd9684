// Package wharfuntrusted tests the daemons against clients that do not keep to the limits. It builds the real daemon, runs
// it as a process on loopback addresses and checks its peak memory and its open descriptors.
package wharfuntrusted

// Package wharflease implements the state machine of a host's lease, which also serves as its fence.
package wharflease

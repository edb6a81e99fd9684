// Package wharflease holds the state machine of the host lease and its fence.
package wharflease

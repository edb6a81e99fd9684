// Package wharfdirectory maintains a local copy of the routing configuration and the registered endpoints. It follows
// the store, and reads from other hosts while the store does not answer this one.
package wharfdirectory

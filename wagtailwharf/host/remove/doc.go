// Package wharfremove implements "host remove", which removes the registration of a host that is permanently down.
package wharfremove

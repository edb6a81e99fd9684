// Package wharfrank ranks hosts for a key by rendezvous hashing.
package wharfrank

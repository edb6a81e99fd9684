// Package wharfrank ranks names of hosts, endpoints or zones for a key by rendezvous hashing.
package wharfrank

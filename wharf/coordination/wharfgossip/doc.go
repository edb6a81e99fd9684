// Package wharfgossip exchanges host state over UDP: liveness, the load of each endpoint, and the tokens left in each
// organisation's bucket.
package wharfgossip

// Package wharfgossip exchanges host state over UDP: liveness, status, the load of each endpoint, and in small fleets the
// tokens left in each organisation's bucket.
//
// In a small fleet every host tells all others. In a large one, two hosts of each zone are its allocators. They hear the
// loads on their zone's endpoints from the hosts that cause them, tell those of other zones the sums, and tell all hosts
// in digests which hosts live, so that the messages of a host do not grow with the fleet.
package wharfgossip

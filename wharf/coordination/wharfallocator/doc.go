// Package wharfallocator places requests on endpoints. In a large fleet one host of each zone allocates the slots of its
// zone's endpoints for all hosts of the zone.
//
// It answers a load that a host cannot place by itself: hundreds of hosts with a few requests per second each, in bursts
// that take all slots of a zone. Telling each change of load to all hosts costs more messages than there are requests,
// and hosts that place at the same moment still choose the same slot. An allocator knows all slots, so that no two
// requests get the same one, and keeps one queue for the zone, which is fair between organisations. A request costs one
// call and a few datagrams, whatever the number of hosts.
//
// Nothing depends on a single host: a second allocator hears the same reports and is asked when the first does not
// answer, and a host that reaches neither places its requests by what it knows.
package wharfallocator

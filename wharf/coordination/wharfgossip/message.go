package wharfgossip

import (
	"net/netip"

	"wagtailwharf.example/wharf/state/wharffleet"
)

// Message is what a host tells the others of itself, several times a second.
type Message struct {
	_                struct{} `cbor:",toarray"`
	Host             string
	Zone             string
	Address          netip.AddrPort // for datagrams and calls
	Incarnation      uint64         // start of the process in Unix nanoseconds
	Sequence         uint64
	Partial          bool // only the loads that have changed since the last message
	Brief            bool // the state but for loads and levels, which stay as they were; such a message is also a partial one
	Leaving          bool
	Served           bool   // the store serves this host
	StoreUnreachable bool   // neither the store nor another host does
	StoreVersion     uint64 // version of the store up to which the host knows configuration and endpoints
	Loads            []wharffleet.Load
	Levels           Levels
	Yields           []string // endpoints at which the receiver should stop a batch item
	Spread           bool     // the receiver tells the hosts of its zone
	Relayed          []Relayed
}

// Relayed are changes of a host of another zone, as one host of the zone has been told of them.
type Relayed struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
	Sequence    uint64
	Loads       []wharffleet.Load
}

// Levels is what a host has left of its part of each organisation's burst.
type Levels struct {
	_                 struct{} `cbor:",toarray"`
	OrganisationsHash uint64   // names the organisations and the order in which they are counted
	Tokens            []byte   // two bytes each
}

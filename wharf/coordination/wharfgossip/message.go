package wharfgossip

import (
	"net/netip"

	"wagtailwharf.example/wharf/state/wharffleet"
)

// Message is the state that a host sends to its peers several times per second.
type Message struct {
	_                struct{} `cbor:",toarray"`
	Host             string
	Zone             string
	Address          netip.AddrPort // for datagrams and RPC
	Incarnation      uint64         // process start in Unix nanoseconds
	Sequence         uint64
	Partial          bool // carries only the loads that changed since the last message
	Brief            bool // full state without loads and levels, which stay as they were; Partial is set too
	Leaving          bool
	Served           bool   // the host reaches the store directly
	StoreUnreachable bool   // the host reaches the store neither directly nor through a peer
	StoreVersion     uint64 // store version up to which the host has read the configuration and the endpoints
	Loads            []wharffleet.Load
	Levels           Levels
	Yields           []string // endpoints at which the receiver should stop a batch item
	Spread           bool     // the receiver forwards the loads within its zone
	Relayed          []Relayed
}

// Relayed holds load changes of a host of another zone, forwarded by a contact.
type Relayed struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
	Sequence    uint64
	Loads       []wharffleet.Load
}

// Levels holds the tokens left in a host's share of each organisation's bucket.
type Levels struct {
	_                 struct{} `cbor:",toarray"`
	OrganisationsHash uint64   // identifies the organisations and their order
	Tokens            []byte   // two bytes for each organisation
}

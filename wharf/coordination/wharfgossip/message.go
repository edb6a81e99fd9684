package wharfgossip

import (
	"net/netip"
	"time"

	"wagtailwharf.example/wharf/state/wharffleet"
)

// Message is what a host sends to a peer: its full state, or the parts of it that have changed.
type Message struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Zone        string
	Address     netip.AddrPort // for datagrams and RPC
	Incarnation uint64         // process start in Unix nanoseconds
	Sequence    uint64
	Partial     bool // carries neither the status nor all loads, but only what the other fields hold
	Status      Status
	Levels      Levels // in small fleets
	Loads       []wharffleet.Load
	Yields      []string          // endpoints at which the receiver should stop a batch item
	ZoneLoads   []wharffleet.Load // loads of the sender's zone's endpoints, without those of hosts of the receiver's zone
	Digest      []DigestEntry
}

// Status is what a host says of itself.
type Status struct {
	_                struct{} `cbor:",toarray"`
	Leaving          bool
	Served           bool   // the host reaches the store directly
	StoreUnreachable bool   // the host reaches the store neither directly nor through a peer
	StoreVersion     uint64 // store version up to which the host has read the configuration and the endpoints
	Capacity         int    // thousandths of a core with which the host can allocate slots; 0 if it can't
	AdmittedBy       string // host that admits this host's requests and may use its share of the rates; empty for itself
}

// DigestEntry is what an allocator knows of a host.
type DigestEntry struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Zone        string
	Address     netip.AddrPort
	Incarnation uint64
	Sequence    uint64        // of the message that the status is from
	Age         time.Duration // since that host was last heard or, if it has ended, found to have ended
	Ended       bool
	Status      Status
}

// Levels holds the tokens left in a host's share of each organisation's bucket.
type Levels struct {
	_                 struct{} `cbor:",toarray"`
	OrganisationsHash uint64   // identifies the organisations and their order
	Tokens            []byte   // two bytes for each organisation
}

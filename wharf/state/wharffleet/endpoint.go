package wharffleet

import (
	"net/netip"
	"time"
)

// Endpoint is a registered endpoint.
type Endpoint struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	Leaving bool
	Born    time.Time // start of the incarnation; a later one under the same id knows nothing of before
}

// Load is what one host runs on an endpoint.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Online   int
	Batch    int
}

// Change is what one host runs on an endpoint where that has changed.
type Change struct {
	Load
	Zone string // of the endpoint
	// Wide reports whether other hosts than those nearby in the ring of endpoints may have requests there.
	Wide bool
}

// Placement is one request's place at an endpoint, held until Release.
type Placement struct {
	Endpoint Endpoint
	// Crowded reports whether batch items hold all slots that online requests leave, so that one should be stopped.
	Crowded bool
	// Online and Batch are what ran at the endpoint as this host knew when it placed the request.
	Online int
	Batch  int
	fleet  *Fleet
	entry  *entry
	batch  bool
	silent bool
	done   bool
}

// entry is what this host knows of one endpoint; the fleet's lock guards it.
type entry struct {
	Endpoint
	mark    uint64 // hash of the id, by which endpoints stand in a ring
	index   int    // in the ring of its service and zone, if that is this host's
	own     Load
	online  int // of all hosts
	batch   int
	over    time.Time // since when its slots are exceeded
	faults  int       // in a row
	until   time.Time // no request is sent before, but for a trial
	silent  int       // requests of this host that have waited for long for their first event
	trial   bool      // one request is on its way to learn whether it works again
	backoff time.Duration
}

func (e *entry) count(batch bool, change int) {
	if batch {
		e.own.Batch += change
		e.batch += change
		return
	}
	e.own.Online += change
	e.online += change
}

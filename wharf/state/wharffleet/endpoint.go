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
	// Faults and Served are how many requests the endpoint has broken off and answered since the last change that was told;
	// a whole state leaves them out.
	Faults int
	Served int
}

// Change is what one host runs on an endpoint where that has changed.
type Change struct {
	Load
	Zone string // of the endpoint
	// OutsideSubset reports whether other hosts than those nearby in the ring of endpoints may have requests there.
	OutsideSubset bool
}

// Placement is one request's place at an endpoint, held until Release.
type Placement struct {
	Endpoint Endpoint
	// NeedsPreemption reports whether batch items hold all slots that online requests leave, so that one should be stopped.
	NeedsPreemption bool
	// Online and Batch are what ran at the endpoint as this host knew when it placed the request.
	Online int
	Batch  int
	// Suspect reports whether the endpoint had just broken off other requests, of any host.
	Suspect bool
	fleet   *Fleet
	entry   *entry
	batch   bool
	silent  bool
	done    bool
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
	faults  int       // of this host in a row
	run     int       // requests broken off in a row, of all hosts as far as they have told
	runAt   time.Time // of the last of them
	until   time.Time // no request is sent before, but for a trial
	told    bool      // until follows from what other hosts have told alone
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

package wharffleet

import (
	"net/netip"
	"time"
)

// Endpoint is a registered address that serves requests of a service.
type Endpoint struct {
	ID      string
	Service string
	Version string // of its software; a stream continues only at an endpoint of the version that began it
	Address netip.AddrPort
	Zone    string
	Slots   int
	Leaving bool
	Born    time.Time // start of this incarnation; a later incarnation with the same ID has none of its requests
	// ColdRemaining is how much longer the endpoint stays cold, as its registration said when it was written, or
	// ColdUnknown. ColdUntil is the same as a time of this host's clock, which is never sent to other hosts.
	ColdRemaining time.Duration
	ColdUntil     time.Time
	// Unsettled reports whether the evacuation of its zone has ended since its registration was written, so that it may have
	// become cold.
	Unsettled bool
}

// ColdUnknown is the value of Endpoint.ColdRemaining if the registration does not say.
const ColdUnknown time.Duration = -1

// Load is one host's load on an endpoint: its running online requests and batch items.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Online   int
	Batch    int
	Stalled  int // requests that have waited long for their first event
	// Faults and Served count the requests that the endpoint has failed and answered since the last reported change.
	// They are zero in a report of the full state.
	Faults int
	Served int
	// Sent counts all requests that the host has sent to this incarnation of the endpoint.
	Sent uint64
	// Limit is the limit in the endpoint's newest response to the host, in requests per second from all hosts, and
	// LimitAge the time since then. It is 0 if no response has named a limit.
	Limit    float64
	LimitAge time.Duration
	Leaving  bool // the endpoint has said in a response that it is leaving
}

// Change is a host's load on an endpoint on which it has changed.
type Change struct {
	Load
	Zone string // zone of the endpoint
}

// Placement is a slot at an endpoint that one request holds until Release.
type Placement struct {
	Endpoint Endpoint
	// NeedsPreemption reports whether an online request was placed although no slot is free, so that a batch item
	// should be stopped.
	NeedsPreemption bool
	// Online and Batch are the numbers of requests and items that this host knew to run there when it placed the
	// request.
	Online int
	Batch  int
	// Suspect reports whether other requests, of any host, had recently failed at the endpoint.
	Suspect  bool
	fleet    *Fleet
	entry    *entry
	batch    bool
	probe    bool // the request probes whether the endpoint works again
	stalled  bool
	released bool
}

// entry is the state of one endpoint as this host knows it, guarded by the fleet's lock.
type entry struct {
	Endpoint
	announcement       *announcement
	hash               uint64    // of the ID; endpoints are sorted by it in a ring
	own                Load      // load of this host
	online             int       // running online requests of all hosts
	batch              int       // running batch items of all hosts
	unstoppable        int       // of batch, those of silent hosts
	overcommittedSince time.Time // zero if its load fits its slots
	localFaults        int       // consecutive faults of this host's requests
	sharedFaults       int       // consecutive faults of all hosts other than timeouts, as far as reported
	sharedFaultAt      time.Time // of the latest shared fault
	ejectedUntil       time.Time // no requests before this time; zero if not ejected
	ejectedByPeers     bool      // the ejection follows from faults of other hosts only
	unreachable        bool      // this host could not connect to it
	stalled            int       // requests of all hosts that are stalled here
	probingSince       time.Time // when a request began to probe whether the endpoint works again; zero if none does
	backoff            time.Duration
	restartSuspectedAt time.Time // when something showed that it may have become cold; zero if nothing did since its registration
	restartCause       ColdCause // what that was
	notedCold          bool      // reported as cold
}

// leaves reports whether the endpoint's registration or a response of it says that it is leaving.
func (e *entry) leaves() bool {
	return e.Leaving || e.announcement.leaving
}

// onlineCapacity returns the number of slots that online requests can have beside those that run: free ones, and those of
// batch items that can be stopped.
func (e *entry) onlineCapacity() int {
	return e.Slots - e.online - e.unstoppable
}

// add changes the number of batch items or of online requests.
func (l *Load) add(batch bool, change int) {
	if batch {
		l.Batch = max(0, l.Batch+change)
		return
	}
	l.Online = max(0, l.Online+change)
}

func (e *entry) addLoad(batch bool, change int) {
	e.own.add(batch, change)
	if batch {
		e.batch += change
		return
	}
	e.online += change
}

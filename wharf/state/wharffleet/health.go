package wharffleet

import (
	"math/rand/v2"
	"time"

	"wagtailwharf.example/wharf/state/wharfoutcome"
)

const (
	// firstBackoff is the ejection time after a fault that shows an endpoint to be down. It doubles up to maxBackoff,
	// which is shorter than a crashed endpoint usually takes to recover.
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// faultsToEject is the number of consecutive local faults, of a kind that working endpoints also show at times,
	// that eject an endpoint.
	faultsToEject = 3
	// sharedFaultsToEject is the number of consecutive faults other than timeouts, counted over all hosts, that eject
	// an endpoint. It is higher than faultsToEject because an endpoint that loses one response in five often shows
	// three faults in a row over all hosts.
	sharedFaultsToEject = 5
	// sharedFaultWindow is the longest time between two faults that count as consecutive: the time in which a host with
	// few requests sends another one.
	sharedFaultWindow = 2 * time.Second
	// maxProbeTime is how long a request that probes an endpoint keeps others away: longer than an endpoint takes to
	// start an answer. The outcome of another host's probe may never be reported.
	maxProbeTime = time.Second
	// suspectPeriod is how long after a shared fault the next fault is not held against the request: shorter than a
	// crashed endpoint takes to recover.
	suspectPeriod = 500 * time.Millisecond
)

// Ejection describes an endpoint that is ejected because of faults that other hosts reported.
type Ejection struct {
	Endpoint string
	Faults   int // consecutive faults over all hosts
	Duration time.Duration
}

// Succeed records a success, which resets the fault counts and readmits the endpoint.
func (p *Placement) Succeed() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	e := p.entry
	e.own.Served++
	e.localFaults, e.sharedFaults, e.unreachable = 0, 0, false
	p.probe = false
	e.readmit()
}

// Fail records a fault. A fault that shows the endpoint to be down, or several consecutive ones, ejects the endpoint
// for a time that doubles with each ejection. Fail returns the remaining ejection time, or 0 if the endpoint is not
// ejected.
func (p *Placement) Fail(outcome wharfoutcome.Outcome) time.Duration {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	e, now := p.entry, time.Now()
	e.localFaults++
	p.endProbe()
	// Timeouts are also caused by load, so each host counts only those of its own requests.
	if outcome != wharfoutcome.TimedOut {
		e.own.Faults++
		e.addSharedFaults(1, now)
	}
	e.unreachable = e.unreachable || outcome == wharfoutcome.NotSent
	p.fleet.suspectRestartAfter(e, outcome, now)
	down := outcome == wharfoutcome.NotSent || outcome == wharfoutcome.WrongEndpoint
	if !down && e.localFaults < faultsToEject && e.sharedFaults < sharedFaultsToEject {
		return 0
	}
	if e.ejectedUntil.After(now) {
		e.ejectedByPeers = false
		return e.ejectedUntil.Sub(now)
	}
	return e.eject(now)
}

// addSharedFaults adds to the consecutive faults of all hosts, which restart after sharedFaultWindow without a fault.
func (e *entry) addSharedFaults(faults int, now time.Time) {
	if now.Sub(e.sharedFaultAt) > sharedFaultWindow {
		e.sharedFaults = 0
	}
	e.sharedFaults += faults
	e.sharedFaultAt = now
}

func (e *entry) eject(now time.Time) time.Duration {
	e.backoff = min(max(2*e.backoff, firstBackoff), maxBackoff)
	e.ejectedUntil = now.Add(e.backoff)
	e.ejectedByPeers = false
	return e.backoff
}

func (e *entry) readmit() {
	e.ejectedUntil, e.backoff, e.ejectedByPeers, e.probingSince = time.Time{}, 0, false, time.Time{}
}

// applyOutcomes applies the faults and successes of another host, and returns the endpoints that are ejected as a
// result.
func (f *Fleet) applyOutcomes(loads []Load) []Ejection {
	var ejections []Ejection
	now := time.Now()
	for _, load := range loads {
		e := f.entries[load.Endpoint]
		switch {
		case e == nil:
		case load.Served > 0:
			e.sharedFaults = 0
			if e.ejectedByPeers {
				e.readmit()
			}
		case load.Faults > 0:
			e.addSharedFaults(load.Faults, now)
			e.probingSince = time.Time{}
			if e.sharedFaults >= sharedFaultsToEject && !e.ejectedUntil.After(now) {
				ejections = append(ejections, e.ejectForPeers(now))
				f.suspectRestart(e, ColdBrokenOff, now)
			}
		}
	}
	return ejections
}

// ejectForPeers ejects an endpoint because of shared faults. The ejection time is random, so that the first host to
// probe the endpoint again can report its result to the others.
func (e *entry) ejectForPeers(now time.Time) Ejection {
	duration := e.eject(now)
	duration += rand.N(duration)
	e.ejectedUntil = now.Add(duration)
	e.ejectedByPeers = e.localFaults == 0
	return Ejection{Endpoint: e.ID, Faults: e.sharedFaults, Duration: duration}
}

// suspect reports whether requests of any host have failed at the endpoint within suspectPeriod.
func (e *entry) suspect(now time.Time) bool {
	return e.sharedFaults > 0 && now.Sub(e.sharedFaultAt) < suspectPeriod
}

// Unreachable returns the endpoints to which this host could not connect. They get none of its requests until
// SetReachable is called, since each would wait for the connection in vain.
func (f *Fleet) Unreachable() []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []Endpoint
	for _, e := range f.entries {
		if e.unreachable {
			endpoints = append(endpoints, e.Endpoint)
		}
	}
	return endpoints
}

// SetReachable readmits an endpoint to which this host has connected.
func (f *Fleet) SetReachable(endpoint Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.entries[endpoint.ID]; e != nil && e.Address == endpoint.Address {
		e.unreachable, e.localFaults = false, 0
		e.readmit()
	}
}

// available reports whether a request may be sent. After an ejection, one request at a time probes the endpoint; a
// request on its last attempt is not used as a probe.
func (e *entry) available(lastAttempt bool, now time.Time) bool {
	if e.unreachable {
		return false
	}
	if e.ejectedUntil.IsZero() {
		return true
	}
	return !lastAttempt && !e.ejectedUntil.After(now) && now.Sub(e.probingSince) >= maxProbeTime
}

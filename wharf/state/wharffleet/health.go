package wharffleet

import (
	"math/rand/v2"
	"time"

	"wagtailwharf.example/wharf/state/wharfoutcome"
)

const (
	// firstBackoff is the time without requests after a fault that shows an endpoint to be down; longestBackoff bounds
	// its growth below the time in which a crashed endpoint is usually back.
	firstBackoff   = 300 * time.Millisecond
	longestBackoff = 2 * time.Second
	// faultsToEject is the number of faults in a row, of a kind that a working endpoint shows at times, that ejects it.
	faultsToEject = 3
	// runToEject is the same for requests that were broken off in a row, counted over all hosts: more, as an endpoint that
	// loses one answer in five shows three in a row often enough to all hosts together.
	runToEject = 5
	// runKept is how long a fault counts in such a row: the time in which a host with few requests has another one.
	runKept = 2 * time.Second
	// suspectFor is how long after such a fault the next one is not held against the request: less than a crashed
	// endpoint needs to be back.
	suspectFor = 500 * time.Millisecond
)

// Ejection says that an endpoint gets no requests for a time on the word of other hosts.
type Ejection struct {
	Endpoint string
	Faults   int // requests that were broken off there in a row
	Duration time.Duration
}

// Succeed records that the endpoint works.
func (p *Placement) Succeed() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	e := p.entry
	e.own.Served++
	e.faults, e.run, e.trial = 0, 0, false
	e.admit()
}

// Fail records a fault; one that shows the endpoint to be down, or several in a row, keep requests away for a time that
// doubles. It returns that time, or 0.
func (p *Placement) Fail(v wharfoutcome.Outcome) time.Duration {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	e, now := p.entry, time.Now()
	e.faults++
	e.trial = false
	if v != wharfoutcome.TimedOut { // silence comes with load too, and each host judges it by its own requests
		e.own.Faults++
		e.extend(1, now)
	}
	down := v == wharfoutcome.NotSent || v == wharfoutcome.WrongEndpoint
	if !down && e.faults < faultsToEject && e.run < runToEject {
		return 0
	}
	if e.until.After(now) {
		e.told = false
		return e.until.Sub(now)
	}
	return e.eject(now)
}

// extend adds faults to the row of all hosts.
func (e *entry) extend(faults int, now time.Time) {
	if now.Sub(e.runAt) > runKept {
		e.run = 0
	}
	e.run += faults
	e.runAt = now
}

func (e *entry) eject(now time.Time) time.Duration {
	e.backoff = min(max(2*e.backoff, firstBackoff), longestBackoff)
	e.until = now.Add(e.backoff)
	e.told = false
	return e.backoff
}

func (e *entry) admit() {
	e.until, e.backoff, e.told = time.Time{}, 0, false
}

// hear takes over which requests of another host were broken off or answered.
func (f *Fleet) hear(loads []Load) []Ejection {
	var ejections []Ejection
	now := time.Now()
	for _, load := range loads {
		e := f.entries[load.Endpoint]
		switch {
		case e == nil:
		case load.Served > 0:
			e.run = 0
			if e.told {
				e.admit()
			}
		case load.Faults > 0:
			e.extend(load.Faults, now)
			if e.run >= runToEject && !e.until.After(now) {
				ejections = append(ejections, e.avoid(now))
			}
		}
	}
	return ejections
}

// avoid ejects an endpoint on the word of others. The time differs from host to host, so that the first to try it again can
// tell the others.
func (e *entry) avoid(now time.Time) Ejection {
	length := e.eject(now)
	length += rand.N(length)
	e.until = now.Add(length)
	e.told = e.faults == 0
	return Ejection{Endpoint: e.ID, Faults: e.run, Duration: length}
}

// suspect reports whether the endpoint has just broken off requests.
func (e *entry) suspect(now time.Time) bool {
	return e.run > 0 && now.Sub(e.runAt) < suspectFor
}

// usable reports whether requests may be sent; after a fault a single trial goes first, and where there are other
// endpoints not one that has no attempt left after it.
func (e *entry) usable(once bool, now time.Time) bool {
	if e.until.IsZero() {
		return true
	}
	return !once && !e.until.After(now) && !e.trial
}

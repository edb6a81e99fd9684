package wharffleet

import (
	"slices"
	"time"

	"wagtailwharf.example/wharf/state/wharfcold"
	"wagtailwharf.example/wharf/state/wharfoutcome"
)

// coldWeight is the weight factor of a cold endpoint, which is slow for some seconds: with eight slots, an empty cold
// endpoint weighs less than a warm one with two free slots, but more than one with a single free slot.
const coldWeight = 0.05

// ColdCause is the reason why an endpoint counts as cold.
type ColdCause string

// Causes of coldness.
const (
	ColdRegistered  ColdCause = "registered"      // its registration says so
	ColdUnreachable ColdCause = "unreachable"     // this host could not connect to it, or another endpoint answered
	ColdBrokenOff   ColdCause = "broken-off"      // it broke off requests, as when it crashes
	ColdEvacuated   ColdCause = "evacuation-over" // the evacuation of its zone has ended
)

// ColdChange describes an endpoint that has become cold, or warm again.
type ColdChange struct {
	Endpoint  string
	Service   string
	Zone      string
	Cold      bool
	Cause     ColdCause
	Remaining time.Duration // until it is warm, as its registration says
	Limit     float64       // requests per second that it tolerates from all hosts
	Share     int           // requests that this host may send in any second
}

// coldness holds what the fleet needs to keep within the limits of cold endpoints.
type coldness struct {
	limits map[string]float64 // by service; services without a limit are missing
	sender *wharfcold.Sender
	report func(c ColdChange)
	kept   uint64 // requests that were kept from a cold endpoint with a free slot
}

// LimitCold sets the number of requests per second that a cold endpoint tolerates, by service. Services that are
// missing have no limit, and their endpoints never count as cold.
func (f *Fleet) LimitCold(limits map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.limits = limits
	f.noteColdness(time.Now())
}

// SetSenders sets the listed hosts by zone, each of which holds a share of the limits of cold endpoints. Until the first
// call this host sends them nothing.
func (f *Fleet) SetSenders(hosts map[string][]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.sender.SetHosts(hosts, time.Now())
}

// ReportColdness makes the fleet call report, with its lock held, when an endpoint becomes cold or warm. It must be
// called before the first Update.
func (f *Fleet) ReportColdness(report func(c ColdChange)) {
	f.cold.report = report
}

// Confirm takes note of registrations that were written after a time. They settle whether their endpoints are cold.
func (f *Fleet) Confirm(ids []string, writtenAfter time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if e := f.entries[id]; e != nil && e.restartSuspectedAt.Before(writtenAfter) {
			e.restartSuspectedAt = time.Time{}
		}
	}
	f.noteColdness(time.Now())
}

// suspectRestart makes an endpoint count as cold until a registration that is written later settles it.
func (f *Fleet) suspectRestart(e *entry, cause ColdCause, now time.Time) {
	if current := f.entries[e.ID]; current != nil {
		e = current // the endpoint may have registered again since the request was placed
	}
	e.restartSuspectedAt, e.restartCause = now, cause
	f.noteColdnessOf(e, now)
}

// suspectRestartAfter suspects a restart of an endpoint after an outcome that shows that it may have crashed.
func (f *Fleet) suspectRestartAfter(e *entry, outcome wharfoutcome.Outcome, now time.Time) {
	switch outcome {
	case wharfoutcome.NotSent, wharfoutcome.WrongEndpoint:
		f.suspectRestart(e, ColdUnreachable, now)
	case wharfoutcome.ConnectionLost:
		f.suspectRestart(e, ColdBrokenOff, now)
	}
}

// isCold reports whether an endpoint counts as cold. The caller holds the lock.
func (f *Fleet) isCold(e *entry, now time.Time) bool {
	return f.cold.limits[e.Service] > 0 && (!e.restartSuspectedAt.IsZero() || e.Unsettled || now.Before(e.ColdUntil))
}

// coldRoom returns the number of requests that this host may send to a cold endpoint now.
func (f *Fleet) coldRoom(e *entry, now time.Time) int {
	return f.cold.sender.Room(f.coldEndpoint(e), now)
}

func (f *Fleet) coldEndpoint(e *entry) wharfcold.Endpoint {
	return wharfcold.Endpoint{ID: e.ID, Zone: e.Zone, PerSecond: f.cold.limits[e.Service]}
}

// coldRoomFor returns the number of requests that the sender of a request may send to a cold endpoint now: this host,
// or the requester, which names the endpoints to which it may send.
func (f *Fleet) coldRoomFor(r *Request, e *entry, now time.Time) int {
	if r.Requester == nil {
		return f.coldRoom(e, now)
	}
	if slices.Contains(r.Requester.Cold, e.ID) {
		return 1
	}
	return 0
}

// coldFactor returns the weight factor of an endpoint that is cold or not.
func coldFactor(cold bool) float64 {
	if cold {
		return coldWeight
	}
	return 1
}

// sendable returns how many of an endpoint's slots this host may use now.
func (f *Fleet) sendable(e *entry, slots int, now time.Time) int {
	if f.isCold(e, now) {
		return min(slots, f.coldRoom(e, now))
	}
	return slots
}

// noteSent counts a request of this host against its share of the endpoint's limit.
func (f *Fleet) noteSent(e *entry, now time.Time) {
	if f.cold.limits[e.Service] > 0 {
		f.cold.sender.Sent(e.ID, now)
	}
}

// noteColdness reports the endpoints that have become cold or warm. The caller holds the lock.
func (f *Fleet) noteColdness(now time.Time) {
	for _, e := range f.entries {
		f.noteColdnessOf(e, now)
	}
}

func (f *Fleet) noteColdnessOf(e *entry, now time.Time) {
	cold := f.isCold(e, now)
	if cold == e.notedCold {
		return
	}
	e.notedCold = cold
	change := ColdChange{
		Endpoint: e.ID, Service: e.Service, Zone: e.Zone, Cold: cold, Cause: ColdRegistered,
		Remaining: max(0, e.ColdUntil.Sub(now)), Limit: f.cold.limits[e.Service],
	}
	switch {
	case !e.restartSuspectedAt.IsZero():
		change.Cause = e.restartCause
	case e.Unsettled:
		change.Cause = ColdEvacuated
	}
	if cold {
		change.Share = f.cold.sender.Share(f.coldEndpoint(e), now)
	}
	f.cold.report(change)
}

// ColdCounts returns the number of cold endpoints, and how often requests were kept from one with a free slot.
func (f *Fleet) ColdCounts() (endpoints int, kept uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, e := range f.entries {
		if f.isCold(e, now) {
			endpoints++
		}
	}
	return endpoints, f.cold.kept
}

// RampUp returns the time until the first cold endpoint of a service is warm, as registrations say, or 0.
func (f *Fleet) RampUp(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, first := time.Now(), time.Duration(0)
	for e := range f.services[service].all() {
		if remaining := e.ColdUntil.Sub(now); f.isCold(e, now) && remaining > 0 && (first == 0 || remaining < first) {
			first = remaining
		}
	}
	return first
}

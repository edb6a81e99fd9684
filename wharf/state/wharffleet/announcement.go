package wharffleet

import (
	"time"

	"wagtailwharf.example/wharf/state/wharfcall"
)

const (
	// limitBurst is how much of an endpoint's limit may be sent at once after a pause. Hosts that choose the same
	// endpoint before they hear of each other exceed it; what they sent is made up for afterwards.
	limitBurst = time.Second
	// minLimit is the least rate, in requests per second, that an endpoint with a limit gets from all hosts. Only its
	// responses tell that the limit has risen or ended.
	minLimit = 0.1
	// maxLimitDebt bounds what is made up for, so that a host that heard of many old requests at once does not leave an
	// endpoint alone for long.
	maxLimitDebt = 4 * time.Second
	// limitedBatchWeight is the weight factor for batch items of an endpoint with a limit: an item holds a slot for
	// several seconds and is a single request.
	limitedBatchWeight = 4.0
	// grantReportTime is the time in which a host reports a request for which this host granted the slot.
	grantReportTime = time.Second
	// announcementTTL is how long what an endpoint has said is remembered while it is not registered. A registration may
	// lapse during an outage of the store.
	announcementTTL = 10 * time.Minute
)

// incarnation identifies one run of an endpoint's process.
type incarnation struct {
	id   string
	born int64 // start in Unix nanoseconds
}

func incarnationOf(e Endpoint) incarnation {
	return incarnation{e.ID, e.Born.UnixNano()}
}

// announcement is what an endpoint has said of itself in its responses, and what that depends on: the requests that all
// hosts have sent it. A limit is a token bucket, from which each host takes the requests of all.
type announcement struct {
	rate      float64   // requests per second from all hosts, at least minLimit, or wharfcall.NoLimit
	heardAt   time.Time // when a host received the newest response that named or omitted the limit; zero before the first limit
	ownRate   float64   // limit in the newest response to this host
	ownHeard  time.Time // of that response; zero before the first limit
	tokens    float64
	refilled  time.Time
	sent      uint64            // requests of this host
	peerSent  map[string]uint64 // requests of other hosts, as they last reported
	granted   map[string]int    // requests for which this host granted the slot and which are not reported yet
	grantedAt time.Time
	leaving   bool
	goneSince time.Time // when the registration was found missing; zero while registered
}

// announcementOf returns the announcement of an endpoint's incarnation. The caller holds the lock.
func (f *Fleet) announcementOf(e Endpoint) *announcement {
	key := incarnationOf(e)
	a := f.announcements[key]
	if a == nil {
		a = &announcement{rate: wharfcall.NoLimit, peerSent: map[string]uint64{}, granted: map[string]int{}}
		f.announcements[key] = a
	}
	return a
}

// removeOldAnnouncements removes those of incarnations that have not been registered for announcementTTL. The caller
// holds the lock.
func (f *Fleet) removeOldAnnouncements(now time.Time) {
	for key, a := range f.announcements {
		e := f.entries[key.id]
		switch {
		case e != nil && incarnationOf(e.Endpoint) == key:
			a.goneSince = time.Time{}
		case a.goneSince.IsZero():
			a.goneSince = now
		case now.Sub(a.goneSince) > announcementTTL:
			delete(f.announcements, key)
		}
	}
}

// Hear records what the header of the endpoint's response says, and reports whether that is new: another limit, or that the
// endpoint is leaving.
func (p *Placement) Hear(r wharfcall.Response) (changed bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	a := p.entry.announcement
	left := r.Leaving && !a.leaving
	a.leaving = a.leaving || r.Leaving
	changed = a.hearLimit(r, time.Now()) || left
	if changed {
		p.fleet.dirty[p.entry.ID] = true
		p.fleet.changed()
	}
	return changed
}

// hearLimit records the limit in a response to this host and reports whether it differs from the one before.
func (a *announcement) hearLimit(r wharfcall.Response, now time.Time) (changed bool) {
	if r.RateLimit < 0 && a.heardAt.IsZero() {
		return false // it has never named a limit
	}
	changed = a.ownRate != r.RateLimit || a.ownHeard.IsZero()
	a.ownRate, a.ownHeard = r.RateLimit, now
	a.setRate(r.RateLimit, now, now)
	return changed
}

// setRate applies a limit that was heard at a time, unless a newer one is known.
func (a *announcement) setRate(rate float64, heardAt, now time.Time) {
	if !heardAt.After(a.heardAt) {
		return
	}
	a.heardAt = heardAt
	if a.rate < 0 {
		a.tokens, a.refilled = 0, now
	}
	a.refill(now)
	a.rate = rate
	if rate >= 0 {
		a.rate = max(rate, minLimit)
	}
}

// refill adds the tokens of the time since the last call.
func (a *announcement) refill(now time.Time) {
	if a.rate < 0 {
		return
	}
	a.tokens = min(a.tokens+a.rate*now.Sub(a.refilled).Seconds(), max(1, a.rate*limitBurst.Seconds()))
	a.refilled = now
}

// take takes the tokens of requests that were sent.
func (a *announcement) take(requests float64, now time.Time) {
	if a.rate < 0 {
		return
	}
	a.refill(now)
	a.tokens = max(a.tokens-requests, -max(1, a.rate*maxLimitDebt.Seconds()))
}

// accepts reports whether the limit allows another request.
func (a *announcement) accepts(now time.Time) bool {
	if a.rate < 0 {
		return true
	}
	a.refill(now)
	return a.tokens >= 1
}

// report adds this host's statements to its load.
func (a *announcement) report(load Load, now time.Time) Load {
	load.Sent, load.Leaving = a.sent, a.leaving
	if !a.ownHeard.IsZero() {
		load.Limit, load.LimitAge = a.ownRate, max(1, now.Sub(a.ownHeard))
	}
	return load
}

// hear applies the statements in another host's load.
func (a *announcement) hear(host string, load Load, now time.Time) {
	a.leaving = a.leaving || load.Leaving
	if load.LimitAge > 0 {
		a.setRate(load.Limit, now.Add(-load.LimitAge), now)
	}
	before, known := a.peerSent[host]
	if load.Sent == 0 || known && load.Sent == before {
		return
	}
	a.peerSent[host] = load.Sent
	requests := 1 // of a host that was not known, at least the one that it tells of
	switch {
	case known && load.Sent > before:
		requests = int(load.Sent - before)
	case known: // the host has restarted
		requests = int(load.Sent)
	}
	if now.Sub(a.grantedAt) > grantReportTime {
		clear(a.granted)
	}
	counted := min(requests, a.granted[host])
	a.granted[host] -= counted
	a.take(float64(requests-counted), now)
}

// grant counts a request of another host before that host reports it.
func (a *announcement) grant(host string, now time.Time) {
	if now.Sub(a.grantedAt) > grantReportTime {
		clear(a.granted)
	}
	a.granted[host]++
	a.grantedAt = now
	a.take(1, now)
}

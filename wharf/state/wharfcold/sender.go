package wharfcold

import (
	"math"
	"slices"
	"time"

	"wagtailwharf.example/wharf/state/wharfrank"
)

const (
	// window is the time in which a host sends no more than its share. It exceeds the second of the limit, since a
	// host's clock may run fast; clocks that are off by more than a twentieth are broken.
	window = 1050 * time.Millisecond
	// settleTime is how long a host keeps a smaller share after it has learned of hosts that would give it a larger one:
	// two readings of the list of hosts. By then, the others have read that list too.
	settleTime = 10 * time.Second
	// boundFactor and boundConstant give the requests that a cold endpoint withstands in any second, for its limit.
	boundFactor   = 1.5
	boundConstant = 5
	// maxViews is the number of differing lists of hosts that may be in use at the same time without exceeding the
	// bound: the newest one, and an older one at hosts that are cut off or late.
	maxViews = 2
)

// Total returns the number of requests that all hosts with the same list of hosts send to a cold endpoint in any
// second, for its limit in requests per second. It is at least one, and at most a maxViews-th of what the endpoint
// withstands.
func Total(perSecond float64) int {
	bound := math.Floor((boundFactor*perSecond + boundConstant) / maxViews)
	return int(min(max(1, math.Floor(perSecond)), bound, math.MaxInt32))
}

// Share returns the part of a total that a host holds for an endpoint. The first hosts in rendezvous order, at most one
// per request, have equal parts, apart from a remainder that goes to the first of them.
func Share(host, endpoint string, hosts []string, total int) int {
	holders := min(len(hosts), total)
	if holders == 0 {
		return 0
	}
	rank := slices.Index(wharfrank.Order(endpoint, hosts), host)
	switch {
	case rank < 0 || rank >= holders:
		return 0
	case rank < total%holders:
		return total/holders + 1
	}
	return total / holders
}

// Endpoint identifies a cold endpoint.
type Endpoint struct {
	ID        string
	Zone      string
	PerSecond float64 // limit in requests per second
}

// Sender decides how many requests a host may send to cold endpoints. It is not safe for concurrent use.
type Sender struct {
	host    string
	readyAt time.Time
	views   []*view // the list of hosts in use, after those that were replaced within settleTime
	sent    map[string][]time.Time
}

// view is a list of hosts.
type view struct {
	zones      map[string][]string // sorted names of the hosts by zone
	all        []string
	replacedAt time.Time
	shares     map[Endpoint]int // of this host, as computed so far
}

// New returns the sender of a host, which may send nothing until it knows the hosts.
func New(host string) *Sender {
	return &Sender{host: host, sent: map[string][]time.Time{}}
}

// SetHosts replaces the list of hosts, each of which may hold shares, by zone. A host that has just started sends
// nothing for the length of the window, since it does not know what it sent before.
func (s *Sender) SetHosts(zones map[string][]string, now time.Time) {
	next := newView(zones)
	if len(s.views) == 0 {
		s.readyAt = now.Add(window)
		s.views = append(s.views, next)
		return
	}
	current := s.views[len(s.views)-1]
	if current.equal(next) {
		return
	}
	current.replacedAt = now
	s.views = append(s.removeSettled(now), next)
}

func newView(zones map[string][]string) *view {
	v := &view{zones: make(map[string][]string, len(zones)), shares: map[Endpoint]int{}}
	for zone, hosts := range zones {
		if len(hosts) == 0 {
			continue
		}
		v.zones[zone] = slices.Sorted(slices.Values(hosts))
		v.all = append(v.all, hosts...)
	}
	return v
}

func (v *view) equal(other *view) bool {
	if len(v.zones) != len(other.zones) {
		return false
	}
	for zone, hosts := range v.zones {
		if !slices.Equal(hosts, other.zones[zone]) {
			return false
		}
	}
	return true
}

// share returns a host's share of an endpoint. The hosts of the endpoint's zone hold shares or, if it has none, all.
func (v *view) share(host string, e Endpoint) int {
	share, known := v.shares[e]
	if !known {
		hosts := v.zones[e.Zone]
		if len(hosts) == 0 {
			hosts = v.all
		}
		share = Share(host, e.ID, hosts, Total(e.PerSecond))
		v.shares[e] = share
	}
	return share
}

// removeSettled returns the views without those that were replaced longer than settleTime ago.
func (s *Sender) removeSettled(now time.Time) []*view {
	return slices.DeleteFunc(s.views, func(v *view) bool {
		return !v.replacedAt.IsZero() && now.Sub(v.replacedAt) >= settleTime
	})
}

// Share returns the number of requests that this host may send to a cold endpoint in any second: the smallest by any
// list of hosts that it has used within settleTime.
func (s *Sender) Share(e Endpoint, now time.Time) int {
	if len(s.views) == 0 || now.Before(s.readyAt) {
		return 0
	}
	s.views = s.removeSettled(now)
	share := math.MaxInt
	for _, v := range s.views {
		share = min(share, v.share(s.host, e))
	}
	return share
}

// Room returns the number of requests that this host may send to a cold endpoint now.
func (s *Sender) Room(e Endpoint, now time.Time) int {
	return max(0, s.Share(e, now)-len(s.recent(e.ID, now)))
}

// Sent records that a request is sent to an endpoint. Requests to warm endpoints count when these become cold.
func (s *Sender) Sent(endpoint string, now time.Time) {
	s.sent[endpoint] = append(s.recent(endpoint, now), now)
}

// recent returns when requests were sent to an endpoint within the window.
func (s *Sender) recent(endpoint string, now time.Time) []time.Time {
	sent := s.sent[endpoint]
	old := 0
	for old < len(sent) && now.Sub(sent[old]) >= window {
		old++
	}
	if old == len(sent) {
		delete(s.sent, endpoint)
		return nil
	}
	if old > 0 {
		sent = sent[old:]
		s.sent[endpoint] = sent
	}
	return sent
}

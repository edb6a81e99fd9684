package wharfcold

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// names draws a non-empty set of host names.
func names(t *rapid.T, label string) []string {
	return rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) string {
		return fmt.Sprint("host-", rapid.IntRange(0, 40).Draw(t, "number"))
	}), 1, 30, rapid.ID).Draw(t, label)
}

// TestSharesSumToTheTotal guards against shares that are lost or given twice among hosts that know the same hosts.
func TestSharesSumToTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, total := names(t, "hosts"), rapid.IntRange(1, 60).Draw(t, "total")
		sum, least, most := 0, total, 0
		for _, h := range hosts {
			share := Share(h, "e", hosts, total)
			sum += share
			least, most = min(least, share), max(most, share)
		}
		if sum != total {
			t.Fatalf("%d hosts hold %d of %d requests", len(hosts), sum, total)
		}
		if most-least > 1 {
			t.Fatalf("%d hosts hold between %d and %d of %d requests", len(hosts), least, most, total)
		}
		if share := Share("unlisted", "e", hosts, total); share != 0 {
			t.Fatalf("a host that is not listed holds %d requests", share)
		}
	})
}

// TestTwoTotalsStayWithinTheBound guards against limits whose total, sent by hosts with two lists, crashes endpoints.
func TestTwoTotalsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.01, 1000).Draw(t, "per second")
		if total := Total(perSecond); total < 1 || float64(2*total) > 1.5*perSecond+5 {
			t.Fatalf("total %d for a limit of %v", total, perSecond)
		}
	})
	assert.Equal(t, Total(8.3), 8)
}

// player is a host of a play.
type player struct {
	name   string
	offset time.Duration
	rate   float64 // of its clock
	sender *Sender
	stale  bool // it uses the older list
}

// now returns the host's time at a real time after the start.
func (p *player) now(at time.Duration) time.Time {
	return time.Unix(1e9, 0).Add(p.offset + time.Duration(p.rate*float64(at)))
}

// play is a number of hosts that send to a cold endpoint whenever their share allows it.
type play struct {
	endpoint     Endpoint
	older, newer []string // lists of hosts
	players      []*player
	at           time.Duration // real time since the start
	sent         []time.Duration
	allowed      int
}

func newPlay(t *rapid.T) *play {
	y := &play{endpoint: Endpoint{
		ID: "e", Zone: rapid.SampledFrom([]string{"z", "without hosts"}).Draw(t, "zone"),
		PerSecond: rapid.Float64Range(0.2, 40).Draw(t, "per second"),
	}}
	y.older, y.newer = names(t, "older"), names(t, "newer")
	y.allowed = maxViews * Total(y.endpoint.PerSecond)
	if rapid.Bool().Draw(t, "one list") {
		y.newer, y.allowed = y.older, Total(y.endpoint.PerSecond)
	}
	for _, name := range slices.Compact(slices.Sorted(slices.Values(slices.Concat(y.older, y.newer)))) {
		p := &player{
			name: name, sender: New(name), stale: rapid.Bool().Draw(t, "stale"),
			offset: time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset")),
			rate:   rapid.Float64Range(0.99, 1.01).Draw(t, "rate"),
		}
		y.setHosts(p)
		y.players = append(y.players, p)
	}
	return y
}

func (y *play) setHosts(p *player) {
	hosts := y.newer
	if p.stale {
		hosts = y.older
	}
	p.sender.SetHosts(map[string][]string{"z": hosts}, p.now(y.at))
}

// step lets some time pass, in which a host may start again or learn of the newer list.
func (y *play) step(t *rapid.T) {
	y.at += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause"))
	p := rapid.SampledFrom(y.players).Draw(t, "host")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		p.sender = New(p.name)
		y.setHosts(p)
	case 1:
		p.stale = false
		y.setHosts(p)
	case 2:
		y.at += settleTime
	}
}

// send has each host send what it may, up to more than all of them together are allowed.
func (y *play) send() {
	for _, p := range y.players {
		for range y.allowed + 1 {
			if p.sender.Room(y.endpoint, p.now(y.at)) > 0 {
				p.sender.Sent(y.endpoint.ID, p.now(y.at))
				y.sent = append(y.sent, y.at)
			}
		}
	}
	for len(y.sent) > 0 && y.at-y.sent[0] >= time.Second {
		y.sent = y.sent[1:]
	}
}

// TestSumOverAllHostsStaysWithinTheBound plays hosts that learn late of another list of hosts, start again, and have clocks
// that differ by their time and by a hundredth of their rate. It guards against a sum over all hosts above the total or,
// with two lists in use, above the bound.
func TestSumOverAllHostsStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		y := newPlay(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			y.step(t)
			y.send()
			if len(y.sent) > y.allowed {
				t.Fatalf("%d requests within a second, %d are allowed", len(y.sent), y.allowed)
			}
		}
	})
}

// TestSharesAreUsedWhole guards against a fleet that keeps within the limit by sending little or nothing.
func TestSharesAreUsedWhole(t *testing.T) {
	e := Endpoint{ID: "e", Zone: "z", PerSecond: 8.3}
	for _, count := range []int{1, 2, 3, 5, 8, 20, 61} {
		var hosts []string
		for i := range count {
			hosts = append(hosts, fmt.Sprint("host-", i))
		}
		start, sent := time.Unix(1e9, 0), 0
		for _, name := range hosts {
			s := New(name)
			s.SetHosts(map[string][]string{"z": hosts}, start)
			assert.Equal(t, s.Room(e, start.Add(window-1)), 0, "a host that has just started waits")
			for range 100 {
				if s.Room(e, start.Add(window)) > 0 {
					s.Sent(e.ID, start.Add(window))
					sent++
				}
			}
			if s.Share(e, start.Add(window)) > 0 {
				assert.Equal(t, s.Room(e, start.Add(2*window-1)), 0)
				assert.Assert(t, s.Room(e, start.Add(2*window)) > 0)
			}
		}
		assert.Equal(t, sent, 8, "%d hosts", count)
	}
}

// TestLargerShareWaits guards against two hosts that use the same part because one has not heard yet of the other.
func TestLargerShareWaits(t *testing.T) {
	e, start := Endpoint{ID: "e", Zone: "z", PerSecond: 8.3}, time.Unix(1e9, 0)
	s := New("a")
	s.SetHosts(map[string][]string{"z": {"a", "b"}}, start)
	now := start.Add(time.Minute)
	assert.Equal(t, s.Share(e, now), 4)
	s.SetHosts(map[string][]string{"z": {"a"}}, now)
	assert.Equal(t, s.Share(e, now.Add(settleTime-1)), 4)
	assert.Equal(t, s.Share(e, now.Add(settleTime)), 8)
	now = now.Add(time.Minute)
	s.SetHosts(map[string][]string{"z": {"a", "b"}}, now)
	assert.Equal(t, s.Share(e, now), 4, "a smaller share holds at once")
}

package wharffleet

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wagtailwharf.example/wharf/state/wharfpick"
)

// zoneOf returns endpoints of one zone and, where far is not 0, of another.
func zoneOf(near, far int) []Endpoint {
	var list []Endpoint
	for i := range near + far {
		e := Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "s", Zone: "near", Slots: slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}
		if i >= near {
			e.Zone = "far"
		}
		list = append(list, e)
	}
	return list
}

// TestHostsOfALargeZoneShareEachEndpointWithFew plays requests of 75 hosts at 750 endpoints.
func TestHostsOfALargeZoneShareEachEndpointWithFew(t *testing.T) {
	const hosts, endpoints, each = 75, 750, 40
	users, placed, covered := map[string]map[int]bool{}, map[string]int{}, map[string]bool{}
	for host := range hosts {
		f := New("me", "near", func() {})
		f.Update(zoneOf(endpoints, endpoints))
		f.SetPosition(host, hosts)
		for range each {
			p := pick(t, f, false)
			if users[p.Endpoint.ID] == nil {
				users[p.Endpoint.ID] = map[int]bool{}
			}
			users[p.Endpoint.ID][host] = true
			placed[p.Endpoint.ID]++
			assert.Equal(t, p.Endpoint.Zone, "near")
		}
		for _, change := range f.Changes() {
			assert.Assert(t, !change.OutsideSubset, "%s is in the part that neighbours hear about", change.Endpoint)
		}
		for id, e := range f.entries {
			covered[id] = covered[id] || !f.wide(e)
		}
		assert.Equal(t, f.SubsetFraction(), float64(leastArc)/endpoints)
	}
	assert.Equal(t, len(covered), 2*endpoints)
	for _, e := range zoneOf(endpoints, 0) {
		assert.Assert(t, covered[e.ID], "%s has no hosts", e.ID)
	}
	most := 0
	for id, hosts := range users {
		assert.Assert(t, len(hosts) <= leastArc*75/endpoints+1, "%s is used by %d hosts", id, len(hosts))
		most = max(most, placed[id])
	}
	assert.Assert(t, most <= 4*each*hosts/endpoints, "the busiest endpoint has %d of %d on average", most, each*hosts/endpoints)
}

func TestHostWithFullEndpointsGoesOn(t *testing.T) {
	const arc = leastArc
	f := New("me", "near", func() {})
	f.Update(zoneOf(3*arc, arc))
	f.SetPosition(3, 20)
	seen := map[string]bool{}
	wide := false
	for range 3 * arc * slots * 85 / 100 {
		p := pick(t, f, false)
		assert.Equal(t, p.Endpoint.Zone, "near", "the own zone goes first")
		seen[p.Endpoint.ID] = true
	}
	assert.Assert(t, len(seen) > 2*arc, "%d endpoints", len(seen))
	for _, change := range f.Changes() {
		wide = wide || change.OutsideSubset
	}
	assert.Assert(t, wide, "others than neighbours have to hear of it")
	for range 3*arc*slots - 3*arc*slots*85/100 + arc*slots {
		pick(t, f, false)
	}
	_, err := f.Pick(Request{Service: "s"})
	assert.ErrorIs(t, err, wharfpick.ErrAllFull)
}

// counted is a fleet beside a count of what it was told from the beginning.
type counted struct {
	*Fleet
	endpoints  []Endpoint
	told       map[string]map[string]Load
	placements []*Placement
}

var anyHost = rapid.SampledFrom([]string{"a", "b", "c"})

func (c *counted) anyLoads(t *rapid.T) []Load {
	load := rapid.Custom(func(t *rapid.T) Load {
		return Load{
			Endpoint: rapid.SampledFrom(c.endpoints).Draw(t, "endpoint").ID,
			Online:   rapid.IntRange(0, 3).Draw(t, "online"),
			Batch:    rapid.IntRange(0, 3).Draw(t, "batch"),
		}
	})
	return rapid.SliceOfDistinct(load, func(l Load) string { return l.Endpoint }).Draw(t, "loads")
}

func (c *counted) tell(host string, loads []Load) {
	if c.told[host] == nil {
		c.told[host] = map[string]Load{}
	}
	for _, l := range loads {
		c.told[host][l.Endpoint] = l
	}
}

func (c *counted) report(t *rapid.T) {
	host, loads := anyHost.Draw(t, "host"), c.anyLoads(t)
	c.ReplaceLoads(host, loads)
	delete(c.told, host)
	c.tell(host, loads)
}

func (c *counted) change(t *rapid.T) {
	host, loads := anyHost.Draw(t, "host"), c.anyLoads(t)
	c.ApplyChanges(host, loads)
	c.tell(host, loads)
}

func (c *counted) forget(t *rapid.T) {
	host := anyHost.Draw(t, "host")
	c.Forget(host)
	delete(c.told, host)
}

func (c *counted) place(t *rapid.T) {
	if p, err := c.Pick(Request{Service: "s", Batch: rapid.Bool().Draw(t, "batch")}); err == nil {
		c.placements = append(c.placements, p)
	}
}

func (c *counted) end(*rapid.T) {
	if len(c.placements) > 0 {
		c.placements[0].Release()
		c.placements = c.placements[1:]
	}
}

func (c *counted) check(t *rapid.T) {
	used := 0
	for id, e := range c.entries {
		online, batch := e.own.Online, e.own.Batch
		if online+batch > 0 {
			used++
		}
		for _, loads := range c.told {
			online += loads[id].Online
			batch += loads[id].Batch
		}
		assert.Equal(t, e.online, online, id)
		assert.Equal(t, e.batch, batch, id)
	}
	assert.Equal(t, len(c.Loads()), used)
}

// TestLoadsAddUpWhateverComes checks what is counted step by step.
func TestLoadsAddUpWhateverComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &counted{Fleet: New("me", "near", func() {}), endpoints: zoneOf(4, 2), told: map[string]map[string]Load{}}
		c.Update(c.endpoints[:3])
		t.Repeat(map[string]func(*rapid.T){
			"report": c.report, "change": c.change, "forget": c.forget, "place": c.place, "end": c.end, "": c.check,
			"update": func(t *rapid.T) {
				c.Update(c.endpoints[:rapid.IntRange(0, len(c.endpoints)).Draw(t, "count")])
			},
		})
	})
}

package wharfgossip

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharffleet"
)

// zone returns gossips that know each other and run nothing.
func zone(t *testing.T, hosts int, reach float64) map[string]*Gossip {
	t.Helper()
	gossips := map[string]*Gossip{}
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		g := New(Options{
			Self:              Message{Host: name, Zone: "z", Incarnation: 1},
			OnRankChange:      func(int, int) {},
			NeighbourFraction: func() float64 { return reach },
		})
		for j := range hosts {
			g.AddPeer(fmt.Sprintf("h%02d", j), "z", g.options.Self.Address, 1)
		}
		gossips[name] = g
	}
	return gossips
}

func names(peers []Peer) []string {
	var list []string
	for _, p := range peers {
		list = append(list, p.Host)
	}
	slices.Sort(list)
	return list
}

func TestHostsThatShareEndpointsAreCloseToEachOther(t *testing.T) {
	const hosts = 40
	gossips := zone(t, hosts, 0.1)
	for name, g := range gossips {
		c := g.draw()
		assert.Equal(t, len(c.close), 8, "four on each side of %s: %v", name, names(c.close))
		assert.Equal(t, len(c.others), hosts-1-8)
		for _, p := range c.close {
			assert.Assert(t, slices.Contains(names(gossips[p.Host].draw().close), name), "%s is close to %s", name, p.Host)
		}
	}
	assert.DeepEqual(t, names(gossips["h00"].draw().close), []string{"h01", "h02", "h03", "h04", "h36", "h37", "h38", "h39"})
}

func TestPlaceInTheZoneFollowsWhoIsThere(t *testing.T) {
	g := zone(t, 30, 0.1)["h10"]
	var rank, count int
	g.options.OnRankChange = func(r, c int) { rank, count = r, c }
	g.draw()
	assert.Equal(t, fmt.Sprint(rank, count), "10 30")
	g.RemovePeer("h03")
	assert.Assert(t, g.hasMoved())
	assert.Assert(t, !g.hasMoved())
	g.mu.Lock()
	g.peers["h20"].Presence = Ended
	g.mu.Unlock()
	c := g.draw()
	assert.Equal(t, fmt.Sprint(rank, count), "9 28")
	assert.Equal(t, len(c.near), 28, "an ended host is told all the same, in case that it is there")
}

func TestDividedZoneTellsTheOthersOnlyWhatTheyMayShare(t *testing.T) {
	closeBy, other := start(t, "b", "z"), start(t, "c", "z")
	contact := start(t, "d", "far")
	a := start(t, "a", "z")
	c := &circle{
		close:    []Peer{{Host: "b", Address: closeBy.address}},
		others:   []Peer{{Host: "c", Address: other.address}},
		contacts: []Peer{{Host: "d", Zone: "far", Address: contact.address}},
	}
	changes := []wharffleet.Change{
		{Load: wharffleet.Load{Endpoint: "own", Online: 1}, Zone: "z"},
		{Load: wharffleet.Load{Endpoint: "beyond", Online: 1}, Zone: "z", OutsideSubset: true},
		{Load: wharffleet.Load{Endpoint: "there", Online: 1}, Zone: "far", OutsideSubset: true},
	}
	for _, h := range []*host{a, closeBy, other, contact} {
		await(t, h.options.Self.Host+" listens", func() bool {
			h.Gossip.mu.Lock()
			defer h.Gossip.mu.Unlock()
			return h.conn != nil
		})
	}
	a.options.TakeChanges = func() []wharffleet.Change { return changes }
	a.sendChanges(c)
	for _, expected := range []struct {
		host  *host
		loads string
	}{{closeBy, "own beyond there "}, {other, "beyond there "}, {contact, "there "}} {
		await(t, expected.host.options.Self.Host+" hears of "+expected.loads, func() bool {
			return expected.host.got(func(m *Message) bool {
				text := ""
				for _, l := range m.Loads {
					text += l.Endpoint + " "
				}
				return m.Host == "a" && text == expected.loads
			})
		})
	}
}

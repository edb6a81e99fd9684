package wharfgossip

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharffleet"
)

// newZone returns one Gossip for each host of a zone. They know each other but don't run.
func newZone(t *testing.T, hosts int, fraction float64) map[string]*Gossip {
	t.Helper()
	gossips := map[string]*Gossip{}
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		g := New(Options{
			Self:              Message{Host: name, Zone: "z", Incarnation: 1},
			OnRankChange:      func(int, int) {},
			NeighbourFraction: func() float64 { return fraction },
		})
		for j := range hosts {
			g.AddPeer(fmt.Sprintf("h%02d", j), "z", g.options.Self.Address, 1)
		}
		gossips[name] = g
	}
	return gossips
}

func hostNames(peers []Peer) []string {
	var list []string
	for _, p := range peers {
		list = append(list, p.Host)
	}
	slices.Sort(list)
	return list
}

func TestNeighbourhoodIsSymmetric(t *testing.T) {
	const hosts = 40
	gossips := newZone(t, hosts, 0.1)
	for name, g := range gossips {
		f := g.computeFanout()
		assert.Equal(t, len(f.neighbours), 8, "four on each side of %s: %v", name, hostNames(f.neighbours))
		assert.Equal(t, len(f.nonNeighbours), hosts-1-8)
		for _, p := range f.neighbours {
			assert.Assert(t, slices.Contains(hostNames(gossips[p.Host].computeFanout().neighbours), name),
				"%s is a neighbour of %s", name, p.Host)
		}
	}
	assert.DeepEqual(t, hostNames(gossips["h00"].computeFanout().neighbours),
		[]string{"h01", "h02", "h03", "h04", "h36", "h37", "h38", "h39"})
}

func TestRankFollowsZoneMembership(t *testing.T) {
	g := newZone(t, 30, 0.1)["h10"]
	var rank, count int
	g.options.OnRankChange = func(r, c int) { rank, count = r, c }
	g.computeFanout()
	assert.Equal(t, fmt.Sprint(rank, count), "10 30")
	g.RemovePeer("h03")
	assert.Assert(t, g.takeFanoutStale())
	assert.Assert(t, !g.takeFanoutStale())
	g.mu.Lock()
	g.peers["h20"].Presence = Ended
	g.mu.Unlock()
	f := g.computeFanout()
	assert.Equal(t, fmt.Sprint(rank, count), "9 28")
	assert.Equal(t, len(f.fullState), 28, "an ended host still receives messages, in case it is running")
}

func TestNonNeighboursReceiveOnlyChangesOutsideSubset(t *testing.T) {
	neighbour, nonNeighbour := startHost(t, "b", "z"), startHost(t, "c", "z")
	contact := startHost(t, "d", "far")
	a := startHost(t, "a", "z")
	f := &fanout{
		neighbours:    []Peer{{Host: "b", Address: neighbour.address}},
		nonNeighbours: []Peer{{Host: "c", Address: nonNeighbour.address}},
		contacts:      []Peer{{Host: "d", Zone: "far", Address: contact.address}},
	}
	changes := []wharffleet.Change{
		{Load: wharffleet.Load{Endpoint: "local", Online: 1}, Zone: "z"},
		{Load: wharffleet.Load{Endpoint: "shared", Online: 1}, Zone: "z", OutsideSubset: true},
		{Load: wharffleet.Load{Endpoint: "remote", Online: 1}, Zone: "far", OutsideSubset: true},
	}
	for _, h := range []*testHost{a, neighbour, nonNeighbour, contact} {
		eventually(t, h.options.Self.Host+" listens", func() bool {
			h.Gossip.mu.Lock()
			defer h.Gossip.mu.Unlock()
			return h.conn != nil
		})
	}
	a.options.TakeChanges = func() []wharffleet.Change { return changes }
	a.sendChanges(f)
	for _, expected := range []struct {
		host  *testHost
		loads string
	}{{neighbour, "local shared remote "}, {nonNeighbour, "shared remote "}, {contact, "remote "}} {
		eventually(t, expected.host.options.Self.Host+" receives "+expected.loads, func() bool {
			return expected.host.hasReceived(func(m *Message) bool {
				text := ""
				for _, l := range m.Loads {
					text += l.Endpoint + " "
				}
				return m.Host == "a" && text == expected.loads
			})
		})
	}
}

package wharfgossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharffleet"
)

// testHost is a Gossip on loopback with a TCP port that accepts connections, as a daemon has.
type testHost struct {
	*Gossip
	address  netip.AddrPort
	mu       sync.Mutex
	received []Message
	presence map[string]Presence
	stop     func()
}

func startHost(t *testing.T, name, zone string) *testHost {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &testHost{address: netip.MustParseAddrPort(listener.Addr().String()), presence: map[string]Presence{}}
	h.Gossip = New(Options{
		Listen:    h.address,
		Self:      Message{Host: name, Zone: zone, Address: h.address, Incarnation: 1},
		FillState: func(m *Message) { m.Loads = []wharffleet.Load{{Endpoint: "whole", Online: 1}} },
		TakeChanges: func() []wharffleet.Change {
			return []wharffleet.Change{{Load: wharffleet.Load{Endpoint: "change", Online: 1}}}
		},
		OnRankChange:      func(int, int) {},
		NeighbourFraction: func() float64 { return 1 },
		OnMessage: func(m *Message) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.received = append(h.received, *m)
		},
		OnPeerChange: func(p Peer) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.presence[p.Host] = p.Presence
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	h.stop = sync.OnceFunc(func() {
		cancel()
		_ = listener.Close()
		<-done
	})
	t.Cleanup(h.stop)
	return h
}

func (h *testHost) presenceOf(name string) Presence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.presence[name]
}

func (h *testHost) hasReceived(match func(m *Message) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.received {
		if match(&h.received[i]) {
			return true
		}
	}
	return false
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

func TestHostsDiscoverEachOther(t *testing.T) {
	a, b := startHost(t, "a", "z"), startHost(t, "b", "z")
	a.AddPeer("b", "z", b.address, 1)
	eventually(t, "b discovers a from its messages", func() bool { return b.presenceOf("a") == Alive })
	eventually(t, "a sees b alive", func() bool { return a.presenceOf("b") == Alive })
	a.NotifyChange()
	eventually(t, "b receives the change immediately", func() bool {
		return b.hasReceived(func(m *Message) bool { return m.Partial && len(m.Loads) == 1 && m.Loads[0].Endpoint == "change" })
	})
	a.RequestYield("b", "e1")
	eventually(t, "b receives the yield request", func() bool {
		return b.hasReceived(func(m *Message) bool { return len(m.Yields) == 1 && m.Yields[0] == "e1" })
	})
}

func TestEndedAndQuietHostsAreDistinguished(t *testing.T) {
	a, b, c := startHost(t, "a", "z"), startHost(t, "b", "z"), startHost(t, "c", "z")
	for _, other := range []*testHost{b, c} {
		a.AddPeer(other.options.Self.Host, "z", other.address, 1)
	}
	eventually(t, "a sees b and c alive", func() bool { return a.presenceOf("b") == Alive && a.presenceOf("c") == Alive })
	b.stop()
	eventually(t, "b's port refuses", func() bool { return a.presenceOf("b") == Ended })
	c.mu.Lock() // c stops sending, but its port still accepts connections
	eventually(t, "c is quiet", func() bool { return a.presenceOf("c") == Quiet })
	c.mu.Unlock()
	eventually(t, "c is alive again", func() bool { return a.presenceOf("c") == Alive })
}

func TestNewIncarnationSupersedesOldOne(t *testing.T) {
	a := startHost(t, "a", "z")
	address := netip.MustParseAddrPort("127.0.0.1:9")
	a.handleMessage(&Message{Host: "b", Address: address, Incarnation: 5, Sequence: 1})
	a.handleMessage(&Message{Host: "b", Address: address, Incarnation: 4, Sequence: 9, Leaving: true})
	peer, known := a.Peer("b")
	assert.Assert(t, known)
	assert.Equal(t, peer.Incarnation, uint64(5))
	assert.Assert(t, !peer.LastMessage.Leaving, "a late message of the previous process is ignored")
	a.handleMessage(&Message{Host: "b", Address: address, Incarnation: 5, Sequence: 1, Leaving: true})
	peer, _ = a.Peer("b")
	assert.Assert(t, !peer.LastMessage.Leaving, "a duplicate message is ignored")
	a.AddPeer("b", "z", address, 6)
	peer, _ = a.Peer("b")
	assert.Equal(t, peer.Presence, Unheard)
}

// makeLargeFleet adds enough peers to each host that the fleet counts as large.
func makeLargeFleet(hosts ...*testHost) {
	for _, h := range hosts {
		for _, other := range hosts {
			h.AddPeer(other.options.Self.Host, other.options.Self.Zone, other.address, 1)
		}
		for i := range largeFleetPeers {
			h.AddPeer(string(rune('A'+i)), "unheard", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i)), 1)
		}
	}
}

func TestLargeFleetSendsChangesToOneContactPerZone(t *testing.T) {
	a, b := startHost(t, "a", "near"), startHost(t, "b", "near")
	c, d, e := startHost(t, "c", "far"), startHost(t, "d", "far"), startHost(t, "e", "farther")
	all := []*testHost{a, b, c, d, e}
	makeLargeFleet(all...)
	eventually(t, "a sees all hosts alive", func() bool {
		return a.presenceOf("b") == Alive && a.presenceOf("c") == Alive && a.presenceOf("d") == Alive && a.presenceOf("e") == Alive
	})
	f := a.computeFanout()
	assert.Equal(t, len(f.fullState), 1)
	assert.Equal(t, f.fullState[0].Host, "b")
	assert.Equal(t, len(f.contacts), 2, "one host of each zone in which any is alive")
	a.NotifyChange()
	for _, h := range all[1:] {
		eventually(t, h.options.Self.Host+" receives a's change", func() bool {
			return h.hasReceived(func(m *Message) bool {
				return m.Host == "a" && m.Partial && len(m.Loads) == 1 && m.Loads[0].Endpoint == "change"
			})
		})
	}
	assert.Assert(t, stateInterval(66) < 700*time.Millisecond)
}

func TestLargeFleetSendsBriefStateToOtherZones(t *testing.T) {
	a, b, c := startHost(t, "a", "near"), startHost(t, "b", "near"), startHost(t, "c", "far")
	makeLargeFleet(a, b, c)
	eventually(t, "a sees b and c alive", func() bool { return a.presenceOf("b") == Alive && a.presenceOf("c") == Alive })
	brief := func(m *Message) bool { return m.Host == "a" && m.Brief && m.Partial && m.Loads == nil }
	eventually(t, "the other zone receives a brief state", func() bool { return c.hasReceived(brief) })
	eventually(t, "the other zone receives a full state", func() bool {
		return c.hasReceived(func(m *Message) bool {
			return m.Host == "a" && !m.Partial && len(m.Loads) == 1 && m.Loads[0].Endpoint == "whole"
		})
	})
	assert.Assert(t, !b.hasReceived(brief), "the own zone receives only full states")
	assert.Equal(t, c.presenceOf("a"), Alive)
}

func TestBriefStateKeepsLevels(t *testing.T) {
	a := startHost(t, "a", "near")
	levels := Levels{OrganisationsHash: 7, Tokens: []byte{0, 48}}
	a.handleMessage(&Message{Host: "b", Incarnation: 5, Sequence: 1, Levels: levels})
	a.handleMessage(&Message{
		Host: "b", Incarnation: 5, Sequence: 2, Partial: true, Brief: true, Leaving: true, StoreVersion: 9,
	})
	peer, _ := a.Peer("b")
	assert.DeepEqual(t, peer.LastMessage.Levels, levels)
	assert.Assert(t, peer.LastMessage.Leaving)
	assert.Equal(t, peer.LastMessage.StoreVersion, uint64(9))
}

func TestStaleRelayedChangesAreDropped(t *testing.T) {
	a := startHost(t, "a", "near")
	address := netip.MustParseAddrPort("127.0.0.1:9")
	a.handleMessage(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 7})
	loads := []wharffleet.Load{{Endpoint: "late", Online: 1}}
	for _, r := range []Relayed{
		{Host: "b", Incarnation: 5, Sequence: 6, Loads: loads},
		{Host: "b", Incarnation: 4, Sequence: 9, Loads: loads},
		{Host: "unknown", Incarnation: 5, Sequence: 9, Loads: loads},
	} {
		a.handleRelayed(&r)
	}
	late := func(m *Message) bool { return len(m.Loads) == 1 && m.Loads[0].Endpoint == "late" }
	assert.Assert(t, !a.hasReceived(late))
	a.handleRelayed(&Relayed{Host: "b", Incarnation: 5, Sequence: 8, Loads: loads})
	assert.Assert(t, a.hasReceived(late))
}

func TestMessagesWithoutLoadsDoNotSupersedeRelayedChanges(t *testing.T) {
	a := startHost(t, "a", "near")
	address := netip.MustParseAddrPort("127.0.0.1:9")
	a.handleMessage(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 7})
	a.handleMessage(&Message{
		Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 9, Partial: true, Yields: []string{"e"},
	})
	a.handleMessage(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 10, Partial: true, Brief: true})
	a.handleRelayed(&Relayed{
		Host: "b", Incarnation: 5, Sequence: 8, Loads: []wharffleet.Load{{Endpoint: "overtaken", Online: 1}},
	})
	assert.Assert(t, a.hasReceived(func(m *Message) bool { return len(m.Loads) == 1 && m.Loads[0].Endpoint == "overtaken" }))
	a.handleMessage(&Message{
		Host: "b", Zone: "far", Address: address, Incarnation: 6, Sequence: 1, Partial: true, Brief: true,
	})
	a.handleRelayed(&Relayed{
		Host: "b", Incarnation: 6, Sequence: 2, Loads: []wharffleet.Load{{Endpoint: "restarted", Online: 1}},
	})
	assert.Assert(t, a.hasReceived(func(m *Message) bool { return len(m.Loads) == 1 && m.Loads[0].Endpoint == "restarted" }))
	a.handleMessage(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 9, Leaving: true})
	peer, _ := a.Peer("b")
	assert.Assert(t, !peer.LastMessage.Leaving, "a relayed change does not make an older direct message current")
}

func TestFaultCountsOfRelayedChangesAreSummed(t *testing.T) {
	g := New(Options{Self: Message{Host: "contact", Zone: "near"}})
	for sequence, load := range []wharffleet.Load{
		{Endpoint: "e", Online: 2, Faults: 1}, {Endpoint: "e", Online: 1, Faults: 1, Served: 1}, {Endpoint: "other", Online: 1},
	} {
		g.queueRelay(&Message{Host: "a", Incarnation: 1, Sequence: uint64(sequence + 1), Loads: []wharffleet.Load{load}})
	}
	relayed := g.drainRelays()
	assert.Equal(t, len(relayed), 1)
	assert.DeepEqual(t, relayed[0].Loads, []wharffleet.Load{
		{Endpoint: "e", Online: 1, Faults: 2, Served: 1}, {Endpoint: "other", Online: 1},
	})
}

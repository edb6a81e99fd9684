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

// host is a gossip on loopback, with a port that accepts connections as a daemon's does.
type host struct {
	*Gossip
	address  netip.AddrPort
	mu       sync.Mutex
	received []Message
	presence map[string]Presence
	stop     func()
}

func start(t *testing.T, name, zone string) *host {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &host{address: netip.MustParseAddrPort(listener.Addr().String()), presence: map[string]Presence{}}
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

func (h *host) sees(name string) Presence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.presence[name]
}

func (h *host) got(match func(m *Message) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.received {
		if match(&h.received[i]) {
			return true
		}
	}
	return false
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

func TestHostsHearOfEachOther(t *testing.T) {
	a, b := start(t, "a", "z"), start(t, "b", "z")
	a.AddPeer("b", "z", b.address, 1)
	await(t, "b, which nobody told, knows a", func() bool { return b.sees("a") == Alive })
	await(t, "a knows b", func() bool { return a.sees("b") == Alive })
	a.NotifyChange()
	await(t, "a change comes at once", func() bool {
		return b.got(func(m *Message) bool { return m.Partial && len(m.Loads) == 1 && m.Loads[0].Endpoint == "change" })
	})
	a.RequestYield("b", "e1")
	await(t, "a request to yield comes", func() bool {
		return b.got(func(m *Message) bool { return len(m.Yields) == 1 && m.Yields[0] == "e1" })
	})
}

func TestHostWhoseProcessEndedIsToldFromOneThatIsQuiet(t *testing.T) {
	a, b, c := start(t, "a", "z"), start(t, "b", "z"), start(t, "c", "z")
	for _, other := range []*host{b, c} {
		a.AddPeer(other.options.Self.Host, "z", other.address, 1)
	}
	await(t, "a hears both", func() bool { return a.sees("b") == Alive && a.sees("c") == Alive })
	b.stop()
	await(t, "b's port refuses", func() bool { return a.sees("b") == Ended })
	c.mu.Lock() // c stands still, but its port accepts
	await(t, "c is quiet", func() bool { return a.sees("c") == Quiet })
	c.mu.Unlock()
	await(t, "c is back", func() bool { return a.sees("c") == Alive })
}

func TestNewIncarnationGoesBeforeTheOldOne(t *testing.T) {
	a := start(t, "a", "z")
	address := netip.MustParseAddrPort("127.0.0.1:9")
	a.accept(&Message{Host: "b", Address: address, Incarnation: 5, Sequence: 1})
	a.accept(&Message{Host: "b", Address: address, Incarnation: 4, Sequence: 9, Leaving: true})
	peer, known := a.Peer("b")
	assert.Assert(t, known)
	assert.Equal(t, peer.Incarnation, uint64(5))
	assert.Assert(t, !peer.LastMessage.Leaving, "a late message of the process before is not taken over")
	a.accept(&Message{Host: "b", Address: address, Incarnation: 5, Sequence: 1, Leaving: true})
	peer, _ = a.Peer("b")
	assert.Assert(t, !peer.LastMessage.Leaving, "nor is one that comes twice")
	a.AddPeer("b", "z", address, 6)
	peer, _ = a.Peer("b")
	assert.Equal(t, peer.Presence, Unheard)
}

// enlarge makes a fleet look large to its hosts.
func enlarge(hosts ...*host) {
	for _, h := range hosts {
		for _, other := range hosts {
			h.AddPeer(other.options.Self.Host, other.options.Self.Zone, other.address, 1)
		}
		for i := range farPeers {
			h.AddPeer(string(rune('A'+i)), "unheard", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i)), 1)
		}
	}
}

func TestLargeFleetsTellChangesToTheZoneAndOneHostOfEachOther(t *testing.T) {
	a, b := start(t, "a", "near"), start(t, "b", "near")
	c, d, e := start(t, "c", "far"), start(t, "d", "far"), start(t, "e", "farther")
	all := []*host{a, b, c, d, e}
	enlarge(all...)
	await(t, "a hears all", func() bool {
		return a.sees("b") == Alive && a.sees("c") == Alive && a.sees("d") == Alive && a.sees("e") == Alive
	})
	circle := a.draw()
	assert.Equal(t, len(circle.near), 1)
	assert.Equal(t, circle.near[0].Host, "b")
	assert.Equal(t, len(circle.contacts), 2, "one host of each zone in which any is alive")
	a.NotifyChange()
	for _, h := range all[1:] {
		await(t, h.options.Self.Host+" learns of a's change", func() bool {
			return h.got(func(m *Message) bool {
				return m.Host == "a" && m.Partial && len(m.Loads) == 1 && m.Loads[0].Endpoint == "change"
			})
		})
	}
	assert.Assert(t, periodOf(66) < 700*time.Millisecond)
}

func TestOtherZonesOfLargeFleetsGetBriefStatesInMostRounds(t *testing.T) {
	a, b, c := start(t, "a", "near"), start(t, "b", "near"), start(t, "c", "far")
	enlarge(a, b, c)
	await(t, "a hears both", func() bool { return a.sees("b") == Alive && a.sees("c") == Alive })
	brief := func(m *Message) bool { return m.Host == "a" && m.Brief && m.Partial && m.Loads == nil }
	await(t, "another zone hears a in brief", func() bool { return c.got(brief) })
	await(t, "and whole", func() bool {
		return c.got(func(m *Message) bool {
			return m.Host == "a" && !m.Partial && len(m.Loads) == 1 && m.Loads[0].Endpoint == "whole"
		})
	})
	assert.Assert(t, !b.got(brief), "the own zone hears the whole state")
	assert.Equal(t, c.sees("a"), Alive)
}

func TestBriefStatesLeaveLevelsAsTheyWere(t *testing.T) {
	a := start(t, "a", "near")
	levels := Levels{OrganisationsHash: 7, Tokens: []byte{0, 48}}
	a.accept(&Message{Host: "b", Incarnation: 5, Sequence: 1, Levels: levels})
	a.accept(&Message{Host: "b", Incarnation: 5, Sequence: 2, Partial: true, Brief: true, Leaving: true, StoreVersion: 9})
	peer, _ := a.Peer("b")
	assert.DeepEqual(t, peer.LastMessage.Levels, levels)
	assert.Assert(t, peer.LastMessage.Leaving)
	assert.Equal(t, peer.LastMessage.StoreVersion, uint64(9))
}

func TestRelayedChangesOfAnOlderMessageAreNotTaken(t *testing.T) {
	a := start(t, "a", "near")
	address := netip.MustParseAddrPort("127.0.0.1:9")
	a.accept(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 7})
	loads := []wharffleet.Load{{Endpoint: "late", Online: 1}}
	for _, r := range []Relayed{
		{Host: "b", Incarnation: 5, Sequence: 6, Loads: loads},
		{Host: "b", Incarnation: 4, Sequence: 9, Loads: loads},
		{Host: "unknown", Incarnation: 5, Sequence: 9, Loads: loads},
	} {
		a.acceptRelayed(&r)
	}
	late := func(m *Message) bool { return len(m.Loads) == 1 && m.Loads[0].Endpoint == "late" }
	assert.Assert(t, !a.got(late))
	a.acceptRelayed(&Relayed{Host: "b", Incarnation: 5, Sequence: 8, Loads: loads})
	assert.Assert(t, a.got(late))
}

func TestMessagesWithoutLoadsDoNotMakeRelayedChangesOld(t *testing.T) {
	a := start(t, "a", "near")
	address := netip.MustParseAddrPort("127.0.0.1:9")
	a.accept(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 7})
	a.accept(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 9, Partial: true, Yields: []string{"e"}})
	a.accept(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 10, Partial: true, Brief: true})
	a.acceptRelayed(&Relayed{Host: "b", Incarnation: 5, Sequence: 8, Loads: []wharffleet.Load{{Endpoint: "overtaken", Online: 1}}})
	assert.Assert(t, a.got(func(m *Message) bool { return len(m.Loads) == 1 && m.Loads[0].Endpoint == "overtaken" }))
	a.accept(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 6, Sequence: 1, Partial: true, Brief: true})
	a.acceptRelayed(&Relayed{Host: "b", Incarnation: 6, Sequence: 2, Loads: []wharffleet.Load{{Endpoint: "restarted", Online: 1}}})
	assert.Assert(t, a.got(func(m *Message) bool { return len(m.Loads) == 1 && m.Loads[0].Endpoint == "restarted" }))
	a.accept(&Message{Host: "b", Zone: "far", Address: address, Incarnation: 5, Sequence: 9, Leaving: true})
	peer, _ := a.Peer("b")
	assert.Assert(t, !peer.LastMessage.Leaving, "a relayed message makes no older one of the host itself new")
}

func TestFaultsOfChangesThatAreToldTogetherAddUp(t *testing.T) {
	g := New(Options{Self: Message{Host: "contact", Zone: "near"}})
	for sequence, load := range []wharffleet.Load{
		{Endpoint: "e", Online: 2, Faults: 1}, {Endpoint: "e", Online: 1, Faults: 1, Served: 1}, {Endpoint: "other", Online: 1},
	} {
		g.relay(&Message{Host: "a", Incarnation: 1, Sequence: uint64(sequence + 1), Loads: []wharffleet.Load{load}})
	}
	relayed := g.takeRelays()
	assert.Equal(t, len(relayed), 1)
	assert.DeepEqual(t, relayed[0].Loads, []wharffleet.Load{
		{Endpoint: "e", Online: 1, Faults: 2, Served: 1}, {Endpoint: "other", Online: 1},
	})
}

package wharfgossip

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharffleet"
)

const (
	manyHosts = 300
	manyZones = 4
)

// largeFleet is a host among 299 others that it has heard from.
func largeFleet(b *testing.B) *Gossip {
	b.Helper()
	sink, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(b, err)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(b, err)
	b.Cleanup(func() { _, _ = sink.Close(), conn.Close() })
	address := netip.MustParseAddrPort(sink.LocalAddr().String())
	g := New(Options{
		Self:              Message{Host: "me", Zone: "zone-0", Address: address, Incarnation: 1},
		FillState:         func(m *Message) { m.Loads = someLoads(12) },
		TakeChanges:       someChanges,
		OnRankChange:      func(int, int) {},
		NeighbourFraction: func() float64 { return 64.0 / 750 },
		OnMessage:         func(*Message) {},
		OnPeerChange:      func(Peer) {},
	})
	g.conn = conn
	for i := range manyHosts - 1 {
		g.accept(&Message{
			Host: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i%manyZones), Address: address, Incarnation: 1, Sequence: 1,
			Loads: someLoads(12), Levels: someLevels(70),
		})
	}
	return g
}

func someLoads(count int) []wharffleet.Load {
	loads := make([]wharffleet.Load, count)
	for i := range loads {
		loads[i] = wharffleet.Load{Endpoint: fmt.Sprintf("endpoint-%d", i), Online: 1}
	}
	return loads
}

func someChanges() []wharffleet.Change {
	var changes []wharffleet.Change
	for _, load := range someLoads(2) {
		changes = append(changes, wharffleet.Change{Load: load, Zone: "zone-0"})
	}
	return changes
}

func someLevels(count int) Levels {
	return Levels{OrganisationsHash: 1 << 60, Tokens: make([]byte, 2*count)}
}

func BenchmarkSendChanges(b *testing.B) {
	g := largeFleet(b)
	c := g.draw()
	for b.Loop() {
		g.sendChanges(c)
	}
}

func BenchmarkDraw(b *testing.B) {
	g := largeFleet(b)
	for b.Loop() {
		g.draw()
	}
}

func BenchmarkAcceptChange(b *testing.B) {
	g := largeFleet(b)
	m := g.options.Self
	m.Host, m.Partial, m.Loads = "host-4", true, someLoads(2)
	data, err := cbor.Marshal(&m)
	assert.NilError(b, err)
	sequence := uint64(1)
	for b.Loop() {
		var received Message
		assert.NilError(b, cbor.Unmarshal(data, &received))
		sequence++
		received.Sequence = sequence
		g.accept(&received)
	}
}

func BenchmarkAcceptState(b *testing.B) {
	g := largeFleet(b)
	m := g.options.Self
	m.Host, m.Loads, m.Levels = "host-4", someLoads(12), someLevels(70)
	data, err := cbor.Marshal(&m)
	assert.NilError(b, err)
	sequence := uint64(1)
	for b.Loop() {
		var received Message
		assert.NilError(b, cbor.Unmarshal(data, &received))
		sequence++
		received.Sequence = sequence
		g.accept(&received)
	}
}

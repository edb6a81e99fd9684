package wharffleet

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	manyEndpoints = 3000
	manyHosts     = 300
	manyZones     = 4
	loadsOfHost   = 12
)

// largeFleet is what one of 300 hosts knows of 3,000 endpoints while all others run something.
func largeFleet() *Fleet {
	f := New("me", "zone-0", func() {})
	endpoints := make([]Endpoint, manyEndpoints)
	for i := range endpoints {
		endpoints[i] = Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "s", Zone: fmt.Sprintf("zone-%d", i%manyZones), Slots: slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}
	}
	f.Update(endpoints)
	for host := range manyHosts {
		f.ReplaceLoads(fmt.Sprintf("host-%d", host), loadsFrom(host, 1))
	}
	return f
}

func loadsFrom(host, online int) []Load {
	loads := make([]Load, loadsOfHost)
	for i := range loads {
		loads[i] = Load{Endpoint: fmt.Sprintf("e%d", (host*loadsOfHost+i*manyZones)%manyEndpoints), Online: online}
	}
	return loads
}

func BenchmarkChange(b *testing.B) {
	f := largeFleet()
	loads := loadsFrom(7, 2)[:2]
	for b.Loop() {
		f.ApplyChanges("host-7", loads)
		f.Overcommitted()
	}
}

func BenchmarkReport(b *testing.B) {
	f := largeFleet()
	loads := loadsFrom(7, 2)
	for b.Loop() {
		f.ReplaceLoads("host-7", loads)
		f.Overcommitted()
	}
}

func BenchmarkPick(b *testing.B) {
	f := largeFleet()
	for b.Loop() {
		p, err := f.Pick(Request{Service: "s"})
		assert.NilError(b, err)
		p.Release()
	}
}

func BenchmarkRoom(b *testing.B) {
	f := largeFleet()
	for b.Loop() {
		f.FreeSlots("s")
	}
}

func BenchmarkLoads(b *testing.B) {
	f := largeFleet()
	for b.Loop() {
		f.Loads()
	}
}

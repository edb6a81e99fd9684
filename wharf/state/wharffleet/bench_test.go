package wharffleet

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	endpointCount = 3000
	hostCount     = 300
	zoneCount     = 4
	loadsPerHost  = 12
)

// largeFleet returns the fleet of one of 300 hosts with 3,000 endpoints, with loads reported by all hosts.
func largeFleet() *Fleet {
	f := New("self", "zone-0", func() {})
	endpoints := make([]Endpoint, endpointCount)
	for i := range endpoints {
		endpoints[i] = Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "s", Zone: fmt.Sprintf("zone-%d", i%zoneCount), Slots: slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}
	}
	f.Update(endpoints)
	for host := range hostCount {
		f.ReplaceLoads(fmt.Sprintf("host-%d", host), loadsFrom(host, 1))
	}
	return f
}

func loadsFrom(host, online int) []Load {
	loads := make([]Load, loadsPerHost)
	for i := range loads {
		loads[i] = Load{Endpoint: fmt.Sprintf("e%d", (host*loadsPerHost+i*zoneCount)%endpointCount), Online: online}
	}
	return loads
}

func BenchmarkApplyChanges(b *testing.B) {
	f := largeFleet()
	loads := loadsFrom(7, 2)[:2]
	for b.Loop() {
		f.ApplyChanges("host-7", loads)
		f.Overcommitted()
	}
}

func BenchmarkReplaceLoads(b *testing.B) {
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

func BenchmarkFreeSlots(b *testing.B) {
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

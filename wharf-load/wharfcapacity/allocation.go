package wharfcapacity

import (
	"context"
	"slices"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharffleet"
)

const (
	// allocatorsPerZone is the number of hosts of a zone that know all loads on its endpoints.
	allocatorsPerZone = 2
	// zoneLoadsInterval is the time between two reports of a zone's loads to other zones.
	zoneLoadsInterval = 63 * time.Millisecond
	zonePrefix        = "zone/"
)

// newAllocator returns the allocator of a host. Without Options.Allocators, it places by what the host knows.
func (s *simulation) newAllocator(h *host) *wharfallocator.Allocator {
	return wharfallocator.New(wharfallocator.Options{
		Fleet: h.fleet, Gate: wharfgate.New[*wharffleet.Placement](),
		Allocators: func() []wharfgossip.AllocatorHost {
			if !s.Allocators {
				return nil
			}
			return s.listAllocators(h.zone, h)
		},
		Remote: func(zone string) []wharfgossip.AllocatorHost {
			for z := range s.Zones {
				if zoneName(z) == zone {
					return s.listAllocators(z, h)
				}
			}
			return nil
		},
		Ready: func() bool { return true },
		Call: func(
			ctx context.Context, to wharfgossip.AllocatorHost, r wharfallocator.Reservation,
		) (wharfallocator.Grant, error) {
			s.result.Messages += 2
			return s.hostNamed(to.Host).allocator.Grant(ctx, r), nil
		},
		Preempt: h.preempt,
		Count:   func(string) {},
		Paces:   h.paces,
	})
}

// allocatorsOf returns the first hosts of a zone or, from AllocatorsLostAt on, those after them.
func (s *simulation) allocatorsOf(zone int) []*host {
	first, count := zone*s.Hosts, min(allocatorsPerZone, s.Hosts)
	if s.AllocatorsLostAt > 0 && s.clock.now >= s.AllocatorsLostAt {
		first += s.Hosts - count
	}
	return s.hosts[first : first+count]
}

func (s *simulation) listAllocators(zone int, self *host) []wharfgossip.AllocatorHost {
	var list []wharfgossip.AllocatorHost
	for _, h := range s.allocatorsOf(zone) {
		list = append(list, wharfgossip.AllocatorHost{Host: h.name, Self: h == self})
	}
	return list
}

func (s *simulation) hostNamed(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// reportToAllocators tells this host's changed loads to the allocators of its zone and of the endpoints' zones.
func (h *host) reportToAllocators(changes []wharffleet.Change) {
	for zone := range h.sim.Zones {
		var loads []wharffleet.Load
		for _, c := range changes {
			if zone == h.zone || c.Zone == zoneName(zone) {
				loads = append(loads, c.Load)
			}
		}
		if len(loads) == 0 {
			continue
		}
		for _, other := range h.sim.allocatorsOf(zone) {
			if other != h {
				h.sim.result.Messages++
				other.applyChanges(h.name, loads)
			}
		}
	}
}

// sendZoneLoads sends the loads on the zone's endpoints to the allocators of the other zones, if this host is an allocator.
func (h *host) sendZoneLoads() {
	h.sim.clock.schedule(zoneLoadsInterval, h.sendZoneLoads)
	if !slices.Contains(h.sim.allocatorsOf(h.zone), h) {
		return
	}
	for zone := range h.sim.Zones {
		if zone == h.zone {
			continue
		}
		hosts := map[string]bool{}
		for _, other := range h.sim.hosts[zone*h.sim.Hosts : (zone+1)*h.sim.Hosts] {
			hosts[other.name] = true
		}
		loads := h.fleet.ZoneLoads(func(host string) bool { return hosts[host] })
		for _, other := range h.sim.allocatorsOf(zone) {
			h.sim.result.Messages++
			other.fleet.ReplaceLoads(zonePrefix+zoneName(h.zone), loads)
		}
	}
}

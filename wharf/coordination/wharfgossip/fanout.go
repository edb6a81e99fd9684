package wharfgossip

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharfrank"
)

// allocatorsPerZone is the number of hosts of a zone that know all loads on its endpoints: one that allocates their
// slots and one that takes over when it stops answering.
const allocatorsPerZone = 2

// AllocatorHost is a host that allocates the slots of its zone's endpoints.
type AllocatorHost struct {
	Host    string
	Address netip.AddrPort
	Self    bool // it is this host
}

// fanout lists the peers that receive each kind of message from this host.
type fanout struct {
	all []Peer
	// small reports whether all hosts tell each other everything directly.
	small bool
	// direct are the peers that receive the full state.
	direct []Peer
	// allocators are the allocators of this zone, best first, with this host if it is one of them. A small fleet has none.
	allocators []AllocatorHost
	// rank is this host's index in allocators, or -1.
	rank int
	// zonePeers are the other live hosts of this zone, which receive digests if this host is an allocator.
	zonePeers []Peer
	// remote are the allocators of each other zone; they receive the changes on their zone's endpoints.
	remote map[string][]Peer
}

// computeFanout assigns the current peers to the groups of a fanout.
func (g *Gossip) computeFanout() *fanout {
	f := &fanout{all: g.Peers()}
	g.reportRank(f.all)
	f.small = len(f.all) <= g.options.MaxMeshPeers
	if f.small {
		f.direct = f.all
		return f
	}
	self := Peer{Host: g.options.Self.Host, Address: g.options.Self.Address, Presence: Alive, Status: g.options.Status()}
	zones := map[string][]Peer{}
	for _, p := range f.all {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	own := zones[g.options.Self.Zone]
	f.rank = -1
	for i, p := range selectAllocators(g.options.Self.Zone, append(slices.Clone(own), self)) {
		isSelf := p.Host == self.Host
		f.allocators = append(f.allocators, AllocatorHost{Host: p.Host, Address: p.Address, Self: isSelf})
		if isSelf {
			f.rank = i
			continue
		}
		f.direct = append(f.direct, p)
	}
	for _, p := range own {
		if p.Presence == Alive {
			f.zonePeers = append(f.zonePeers, p)
			continue
		}
		f.direct = append(f.direct, p) // it may not know the allocators
	}
	delete(zones, g.options.Self.Zone)
	f.remote = map[string][]Peer{}
	for zone, peers := range zones {
		f.remote[zone] = selectAllocators(zone, peers)
	}
	return f
}

// loadReceivers returns the peers that receive this host's loads.
func (f *fanout) loadReceivers() []Peer {
	receivers := slices.Clone(f.direct)
	for _, allocators := range f.remote {
		receivers = append(receivers, allocators...)
	}
	return receivers
}

// formerReceivers returns the peers that received this host's loads before and hear of no further changes.
func formerReceivers(before, now *fanout) []Peer {
	current := now.loadReceivers()
	return slices.DeleteFunc(before.loadReceivers(), func(p Peer) bool {
		return slices.ContainsFunc(current, func(c Peer) bool { return c.Host == p.Host })
	})
}

// isAllocator reports whether this host is an allocator of a large fleet.
func (f *fanout) isAllocator() bool {
	return !f.small && f.rank >= 0
}

// isFirstAllocator reports whether this host is the first allocator of its zone in a large fleet.
func (f *fanout) isFirstAllocator() bool {
	return !f.small && f.rank == 0
}

// digestReceivers returns the hosts of another zone that receive this allocator's digests: its allocators and one other
// live host, drawn anew each time, since both allocators may have ended or been replaced without this zone's knowledge;
// or all its hosts while none of them is known to be alive.
func (f *fanout) digestReceivers(zone string) []Peer {
	allocators := f.remote[zone]
	hosts := slices.DeleteFunc(slices.Clone(f.all), func(p Peer) bool { return p.Zone != zone })
	if len(allocators) == 0 {
		return hosts
	}
	others := slices.DeleteFunc(hosts, func(p Peer) bool {
		return p.Presence != Alive || slices.ContainsFunc(allocators, func(a Peer) bool { return a.Host == p.Host })
	})
	if len(others) == 0 {
		return allocators
	}
	return append(slices.Clone(allocators), others[rand.IntN(len(others))])
}

// selectAllocators returns the allocators among the hosts of a zone, best first: those with the most capacity, and
// among equals those that rank first in rendezvous hashing, so that all hosts with the same view select the same.
func selectAllocators(zone string, hosts []Peer) []Peer {
	live := map[string]Peer{}
	var names []string
	for _, p := range hosts {
		if p.Presence == Alive && !p.Status.Leaving {
			live[p.Host] = p
			names = append(names, p.Host)
		}
	}
	ranked := wharfrank.Order(zone, names)
	slices.SortStableFunc(ranked, func(a, b string) int {
		return cmp.Compare(live[b].Status.Capacity, live[a].Status.Capacity)
	})
	selected := make([]Peer, 0, allocatorsPerZone)
	for _, name := range ranked[:min(allocatorsPerZone, len(ranked))] {
		selected = append(selected, live[name])
	}
	return selected
}

// reportRank reports this host's rank by name among the hosts of its zone that have not ended, and their number.
func (g *Gossip) reportRank(peers []Peer) {
	rank, count := 0, 1
	for _, p := range peers {
		if p.Zone != g.options.Self.Zone || p.Presence == Ended {
			continue
		}
		count++
		if p.Host < g.options.Self.Host {
			rank++
		}
	}
	g.options.OnRankChange(rank, count)
}

// Allocators returns the hosts that allocate the slots of this zone's endpoints, first choice first. A small fleet has
// none: each host places its own requests.
func (g *Gossip) Allocators() []AllocatorHost {
	if f := g.currentFanout.Load(); f != nil {
		return f.allocators
	}
	return nil
}

// RemoteAllocators returns the allocators of another zone, first choice first.
func (g *Gossip) RemoteAllocators(zone string) []AllocatorHost {
	f := g.currentFanout.Load()
	if f == nil {
		return nil
	}
	var allocators []AllocatorHost
	for _, p := range f.remote[zone] {
		allocators = append(allocators, AllocatorHost{Host: p.Host, Address: p.Address})
	}
	return allocators
}

// FirstRemoteAllocators returns the first allocator of each other zone.
func (g *Gossip) FirstRemoteAllocators() []Peer {
	f := g.currentFanout.Load()
	if f == nil {
		return nil
	}
	var first []Peer
	for _, allocators := range f.remote {
		if len(allocators) > 0 {
			first = append(first, allocators[0])
		}
	}
	return first
}

// refreshFanout recomputes the fanout, and reports whether this zone has other allocators now.
func (g *Gossip) refreshFanout() (f *fanout, changed bool) {
	_ = g.takeFanoutStale()
	previous := g.currentFanout.Load()
	f = g.computeFanout()
	g.currentFanout.Store(f)
	if previous != nil {
		g.sendNoLoads(formerReceivers(previous, f))
	}
	changed = previous == nil || !slices.Equal(previous.allocators, f.allocators)
	if changed && !f.small {
		klog.InfoS("allocators changed", "allocators", allocatorNames(f.allocators), "rank", f.rank, "peers", len(f.all))
	}
	return f, changed
}

func allocatorNames(allocators []AllocatorHost) (names []string) {
	for _, a := range allocators {
		names = append(names, a.Host)
	}
	return names
}

// takeFanoutStale reports whether the fanout must be recomputed, and resets the flag.
func (g *Gossip) takeFanoutStale() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	stale := g.fanoutStale
	g.fanoutStale = false
	return stale
}

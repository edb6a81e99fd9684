package wharfgossip

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"wagtailwharf.example/wharf/state/wharfrank"
)

// fanout lists the peers that receive each kind of message from this host.
type fanout struct {
	all []Peer
	// fullState peers receive the full state in every round: the hosts of this zone, or all hosts of a small fleet.
	fullState []Peer
	// briefState peers receive the full state in one of fullStateRounds rounds and a brief state in the others.
	briefState []Peer
	// neighbours are the fullState peers that share endpoints with this host and receive all of its changes;
	// nonNeighbours are the other hosts of the zone.
	neighbours, nonNeighbours []Peer
	// contacts are one host of each other zone; they receive changes and forward them within their zone.
	contacts []Peer
}

// hasNonNeighbours reports whether some hosts of the zone share no endpoints with this host.
func (f *fanout) hasNonNeighbours() bool {
	return len(f.nonNeighbours) > 0
}

// computeFanout assigns the current peers to the groups of a fanout.
func (g *Gossip) computeFanout() *fanout {
	f := &fanout{all: g.Peers()}
	for _, p := range f.all {
		if p.Zone == g.options.Self.Zone {
			f.fullState = append(f.fullState, p)
			continue
		}
		f.briefState = append(f.briefState, p)
	}
	rank, count := g.splitByNeighbourhood(f)
	g.options.OnRankChange(rank, count)
	if len(f.all) <= largeFleetPeers {
		f.fullState, f.briefState = f.all, nil
		f.neighbours, f.nonNeighbours = f.all, nil
		return f
	}
	f.contacts = g.selectContacts(f.briefState)
	return f
}

// splitByNeighbourhood splits the hosts of the zone into neighbours, which are close to this host in the ring of host
// names and share endpoints with it, and the rest. It returns this host's rank in that ring and the number of hosts in
// it.
func (g *Gossip) splitByNeighbourhood(f *fanout) (rank, count int) {
	self := g.options.Self.Host
	ring := slices.DeleteFunc(slices.Clone(f.fullState), func(p Peer) bool { return p.Presence == Ended })
	slices.SortFunc(ring, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	rank, _ = slices.BinarySearchFunc(ring, self, func(p Peer, name string) int { return cmp.Compare(p.Host, name) })
	count = len(ring) + 1
	maxDistance := int(math.Ceil(g.options.NeighbourFraction() * float64(count)))
	for i, p := range ring {
		distance := i + 1 - rank // the peers at or after this host's position have ranks from rank+1
		if i < rank {
			distance = rank - i
		}
		if min(distance, count-distance) <= maxDistance {
			f.neighbours = append(f.neighbours, p)
			continue
		}
		f.nonNeighbours = append(f.nonNeighbours, p)
	}
	return rank, count
}

// selectContacts returns one live host of each other zone. Rendezvous hashing spreads the contacts of different hosts
// over the hosts of the zone.
func (g *Gossip) selectContacts(peers []Peer) []Peer {
	zones := map[string]map[string]Peer{}
	for _, p := range peers {
		if p.Presence != Alive || p.LastMessage.Leaving {
			continue
		}
		if zones[p.Zone] == nil {
			zones[p.Zone] = map[string]Peer{}
		}
		zones[p.Zone][p.Host] = p
	}
	var contacts []Peer
	for _, hosts := range zones {
		contacts = append(contacts, hosts[wharfrank.First(g.options.Self.Host, slices.Collect(maps.Keys(hosts)))])
	}
	return contacts
}

// takeFanoutStale reports whether the fanout must be recomputed, and resets the flag.
func (g *Gossip) takeFanoutStale() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	stale := g.fanoutStale
	g.fanoutStale = false
	return stale
}

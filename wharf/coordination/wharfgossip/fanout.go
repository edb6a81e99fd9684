package wharfgossip

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"wagtailwharf.example/wharf/state/wharfrank"
)

// fanout is who hears what from this host.
type fanout struct {
	all []Peer
	// fullState hear the whole state in every round: the hosts of the own zone, in a small fleet all.
	fullState []Peer
	// briefState hear it in some rounds, and in brief in the others.
	briefState []Peer
	// close are those of near that share endpoints with this host and hear of its changes at once; others are the rest.
	neighbours, nonNeighbours []Peer
	// contacts hear of changes too, one host of each other zone, and tell the others there.
	contacts []Peer
}

// hasNonNeighbours reports whether hosts of the own zone share endpoints with some of the others only.
func (c *fanout) hasNonNeighbours() bool {
	return len(c.nonNeighbours) > 0
}

// computeFanout divides the peers.
func (g *Gossip) computeFanout() *fanout {
	c := &fanout{all: g.Peers()}
	for _, p := range c.all {
		if p.Zone == g.options.Self.Zone {
			c.fullState = append(c.fullState, p)
			continue
		}
		c.briefState = append(c.briefState, p)
	}
	rank, count := g.splitByNeighbourhood(c)
	g.options.OnRankChange(rank, count)
	if len(c.all) <= largeFleetPeers {
		c.fullState, c.briefState = c.all, nil
		c.neighbours, c.nonNeighbours = c.all, nil
		return c
	}
	c.contacts = g.selectContacts(c.briefState)
	return c
}

// splitByNeighbourhood finds those of the zone that share endpoints with this host: the ones next to it in the order of the names. It
// returns this host's rank in that order and the number of hosts in it.
func (g *Gossip) splitByNeighbourhood(c *fanout) (rank, count int) {
	self := g.options.Self.Host
	order := slices.DeleteFunc(slices.Clone(c.fullState), func(p Peer) bool { return p.Presence == Ended })
	slices.SortFunc(order, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	rank, _ = slices.BinarySearchFunc(order, self, func(p Peer, name string) int { return cmp.Compare(p.Host, name) })
	count = len(order) + 1
	reach := int(math.Ceil(g.options.NeighbourFraction() * float64(count)))
	for i, p := range order {
		distance := i + 1 - rank // ranks of the others follow on this host's
		if i < rank {
			distance = rank - i
		}
		if min(distance, count-distance) <= reach {
			c.neighbours = append(c.neighbours, p)
			continue
		}
		c.nonNeighbours = append(c.nonNeighbours, p)
	}
	return rank, count
}

// selectContacts returns one live host of each other zone. The contacts of a zone's hosts are spread over the hosts of the
// other.
func (g *Gossip) selectContacts(far []Peer) []Peer {
	zones := map[string]map[string]Peer{}
	for _, p := range far {
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

// takeFanoutStale reports whether the circle must be drawn anew, once.
func (g *Gossip) takeFanoutStale() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	moved := g.fanoutStale
	g.fanoutStale = false
	return moved
}

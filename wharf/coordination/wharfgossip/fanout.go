package wharfgossip

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"wagtailwharf.example/wharf/state/wharfrank"
)

// circle is who hears what from this host.
type circle struct {
	all []Peer
	// near hear the whole state in every round: the hosts of the own zone, in a small fleet all.
	near []Peer
	// far hear it in some rounds, and in brief in the others.
	far []Peer
	// close are those of near that share endpoints with this host and hear of its changes at once; others are the rest.
	close, others []Peer
	// contacts hear of changes too, one host of each other zone, and tell the others there.
	contacts []Peer
}

// divided reports whether hosts of the own zone share endpoints with some of the others only.
func (c *circle) divided() bool {
	return len(c.others) > 0
}

// draw divides the peers.
func (g *Gossip) draw() *circle {
	c := &circle{all: g.Peers()}
	for _, p := range c.all {
		if p.Zone == g.options.Self.Zone {
			c.near = append(c.near, p)
			continue
		}
		c.far = append(c.far, p)
	}
	rank, count := g.divide(c)
	g.options.OnRankChange(rank, count)
	if len(c.all) <= farPeers {
		c.near, c.far = c.all, nil
		c.close, c.others = c.all, nil
		return c
	}
	c.contacts = g.contacts(c.far)
	return c
}

// divide finds those of the zone that share endpoints with this host: the ones next to it in the order of the names. It
// returns this host's rank in that order and the number of hosts in it.
func (g *Gossip) divide(c *circle) (rank, count int) {
	self := g.options.Self.Host
	order := slices.DeleteFunc(slices.Clone(c.near), func(p Peer) bool { return p.Presence == Ended })
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
			c.close = append(c.close, p)
			continue
		}
		c.others = append(c.others, p)
	}
	return rank, count
}

// contacts returns one live host of each other zone. The contacts of a zone's hosts are spread over the hosts of the
// other.
func (g *Gossip) contacts(far []Peer) []Peer {
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

// hasMoved reports whether the circle must be drawn anew, once.
func (g *Gossip) hasMoved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	moved := g.moved
	g.moved = false
	return moved
}

package wharfzone

import (
	"net/netip"
	"slices"
)

// Zone is the membership row of one availability zone. Every change of the voters increments its generation.
type Zone struct {
	Name       string            `json:"name"`
	Generation uint64            `json:"generation"`
	LastEpoch  uint64            `json:"last-epoch"` // epoch of the latest member
	Members    []Member          `json:"members"`
	Witness    bool              `json:"witness"`         // whether the table votes
	Votes      map[string]uint64 `json:"votes,omitempty"` // number of votes of the table by host
}

// Member is one incarnation of a host, identified by its epoch, which serves as its fencing token.
type Member struct {
	Host   string         `json:"host"`
	Epoch  uint64         `json:"epoch"`
	Peer   netip.AddrPort `json:"peer"`
	Caller netip.AddrPort `json:"caller"`
}

// Key returns the row key of a zone's membership row.
func Key(zone string) string {
	return "zone/" + zone
}

// Quorum returns the number of voters that form a majority. The table counts as a voter if it is the witness.
func (z *Zone) Quorum() int {
	voters := len(z.Members)
	if z.Witness {
		voters++
	}
	return voters/2 + 1
}

// NeedsWitness reports whether the table should vote: with a single host, or with an even number of hosts, which could
// tie.
func (z *Zone) NeedsWitness() bool {
	return len(z.Members) == 1 || len(z.Members)%2 == 0
}

// Find returns the member with a host name, and whether there is one.
func (z *Zone) Find(host string) (Member, bool) {
	i := slices.IndexFunc(z.Members, func(m Member) bool { return m.Host == host })
	if i < 0 {
		return Member{}, false
	}
	return z.Members[i], true
}

// HasMember reports whether the incarnation of a host with this epoch is a member.
func (z *Zone) HasMember(host string, epoch uint64) bool {
	m, ok := z.Find(host)
	return ok && m.Epoch == epoch
}

// Hosts returns the host names of all members in the order of the row.
func (z *Zone) Hosts() []string {
	hosts := make([]string, 0, len(z.Members))
	for _, m := range z.Members {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// WithMember returns the next generation with member added under the next epoch, and the member with that epoch. It
// replaces an earlier incarnation of the same host.
func (z *Zone) WithMember(member Member) (Zone, Member) {
	next := z.cloneNext()
	next.LastEpoch++
	member.Epoch = next.LastEpoch
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return m.Host == member.Host })
	next.Members = append(next.Members, member)
	delete(next.Votes, member.Host)
	return next, member
}

// WithoutHost returns the next generation without host.
func (z *Zone) WithoutHost(host string) Zone {
	next := z.cloneNext()
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return m.Host == host })
	delete(next.Votes, host)
	return next
}

// WithWitness returns the next generation, in which witness decides whether the table votes.
func (z *Zone) WithWitness(witness bool) Zone {
	next := z.cloneNext()
	next.Witness = witness
	return next
}

// NextGeneration returns the next generation with the same voters, which invalidates promises made in this one.
func (z *Zone) NextGeneration() Zone {
	return z.cloneNext()
}

// WithVote returns the same generation with one more vote of the table for a host.
func (z *Zone) WithVote(host string) Zone {
	voted := z.cloneNext()
	voted.Generation = z.Generation
	voted.Votes[host]++
	return voted
}

// cloneNext returns a deep copy of the row with the next generation.
func (z *Zone) cloneNext() Zone {
	next := *z
	next.Generation++
	next.Members = slices.Clone(z.Members)
	next.Votes = make(map[string]uint64, len(z.Votes)+1)
	for host, count := range z.Votes {
		next.Votes[host] = count
	}
	return next
}

package wharfzone

import (
	"net/netip"
	"slices"
)

// Zone is the membership row of one availability zone; every change of voters raises its generation by one.
type Zone struct {
	Name       string            `json:"name"`
	Generation uint64            `json:"generation"`
	LastEpoch  uint64            `json:"last-epoch"`
	Members    []Member          `json:"members"`
	Witness    bool              `json:"witness"`
	Votes      map[string]uint64 `json:"votes,omitempty"`
}

// Member is one incarnation of a host, named by the epoch that is its fencing number.
type Member struct {
	Host   string         `json:"host"`
	Epoch  uint64         `json:"epoch"`
	Peer   netip.AddrPort `json:"peer"`
	Caller netip.AddrPort `json:"caller"`
}

// Key returns the row key of a zone's membership.
func Key(zone string) string {
	return "zone/" + zone
}

// Quorum returns how many voters, the table's witness included, are a majority.
func (z *Zone) Quorum() int {
	voters := len(z.Members)
	if z.Witness {
		voters++
	}
	return voters/2 + 1
}

// NeedsWitness reports whether the table should vote: for one host, and where hosts alone could tie.
func (z *Zone) NeedsWitness() bool {
	return len(z.Members) == 1 || len(z.Members)%2 == 0
}

// Find returns the member of a host.
func (z *Zone) Find(host string) (Member, bool) {
	i := slices.IndexFunc(z.Members, func(m Member) bool { return m.Host == host })
	if i < 0 {
		return Member{}, false
	}
	return z.Members[i], true
}

// HasMember reports whether this incarnation of a host is a member.
func (z *Zone) HasMember(host string, epoch uint64) bool {
	m, ok := z.Find(host)
	return ok && m.Epoch == epoch
}

// Hosts returns the names of all members in the row's order.
func (z *Zone) Hosts() []string {
	hosts := make([]string, 0, len(z.Members))
	for _, m := range z.Members {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// WithMember returns the next generation in which member stands, in place of an earlier incarnation of its host,
// with the next epoch.
func (z *Zone) WithMember(member Member) (Zone, Member) {
	next := z.next()
	next.LastEpoch++
	member.Epoch = next.LastEpoch
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return m.Host == member.Host })
	next.Members = append(next.Members, member)
	delete(next.Votes, member.Host)
	return next, member
}

// WithoutHost returns the next generation, in which host does not stand.
func (z *Zone) WithoutHost(host string) Zone {
	next := z.next()
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return m.Host == host })
	delete(next.Votes, host)
	return next
}

// WithWitness returns the next generation, in which the table votes or not.
func (z *Zone) WithWitness(witness bool) Zone {
	next := z.next()
	next.Witness = witness
	return next
}

// NextGeneration returns the next generation with the same voters, which voids promises made in this one.
func (z *Zone) NextGeneration() Zone {
	return z.next()
}

// WithVote returns this generation with one more vote of the table for a host.
func (z *Zone) WithVote(host string) Zone {
	voted := z.next()
	voted.Generation = z.Generation
	voted.Votes[host]++
	return voted
}

func (z *Zone) next() Zone {
	next := *z
	next.Generation++
	next.Members = slices.Clone(z.Members)
	next.Votes = make(map[string]uint64, len(z.Votes)+1)
	for host, count := range z.Votes {
		next.Votes[host] = count
	}
	return next
}

package wharflease

import (
	"slices"
	"time"

	"wagtailwharf.example/wharf/state/wharfzone"
)

// Machine is the lease of one incarnation of a host and the votes that it gives to its zone's others.
// It does no I/O and holds no clock: each method is given the time. The transitions bear the names
// that they have in spec/lease.pml.
type Machine struct {
	self     wharfzone.Member
	term     time.Duration
	margin   time.Duration
	zone     wharfzone.Zone
	started  time.Time
	seen     time.Time
	votes    map[string]time.Time
	until    time.Time
	given    map[string]time.Time
	heard    map[string]time.Time
	promised map[string]uint64
	lost     bool
}

// Vote is the answer of a voter to a renewal.
type Vote struct {
	Granted    bool
	Promised   bool
	Generation uint64
}

// New returns the machine of an incarnation that has just joined zone.
func New(self wharfzone.Member, zone wharfzone.Zone, term, margin time.Duration, now time.Time) *Machine {
	return &Machine{
		self:     self,
		term:     term,
		margin:   margin,
		zone:     zone,
		started:  now,
		seen:     now,
		votes:    map[string]time.Time{},
		given:    map[string]time.Time{},
		heard:    map[string]time.Time{},
		promised: map[string]uint64{},
	}
}

// Zone returns the newest membership that this host knows.
func (m *Machine) Zone() wharfzone.Zone {
	return m.zone
}

// Self returns the member whose lease this is.
func (m *Machine) Self() wharfzone.Member {
	return m.self
}

// Expiry returns the time at which the lease ends if it is not renewed.
func (m *Machine) Expiry() time.Time {
	return m.until
}

// InForce reports whether the lease holds now.
func (m *Machine) InForce(now time.Time) bool {
	return !m.lost && now.Before(m.until)
}

// Lost reports whether the zone no longer holds this incarnation, so that it must join anew.
func (m *Machine) Lost() bool {
	return m.lost
}

// Adopt takes a newer membership; votes gathered in the older one can't be added to.
func (m *Machine) Adopt(zone wharfzone.Zone, now time.Time) bool {
	if zone.Generation <= m.zone.Generation {
		return false
	}
	m.zone = zone
	m.seen = now
	clear(m.votes)
	clear(m.promised)
	if !zone.HasMember(m.self.Host, m.self.Epoch) {
		m.lost = true
		m.until = time.Time{}
	}
	return true
}

// Grant answers the renewal that an incarnation of a host asks for in a generation.
func (m *Machine) Grant(host string, epoch, generation uint64, now time.Time) Vote {
	vote := Vote{Generation: m.zone.Generation}
	if m.lost || generation != m.zone.Generation || !m.zone.HasMember(host, epoch) {
		return vote
	}
	m.heard[host] = now
	if m.promised[host] == epoch {
		vote.Promised = true
		return vote
	}
	m.given[host] = now
	vote.Granted = true
	return vote
}

// Receive counts a vote for the renewal that was sent at sentAt.
func (m *Machine) Receive(from string, sentAt time.Time, vote Vote) {
	if !vote.Granted || vote.Generation != m.zone.Generation {
		return
	}
	if _, ok := m.zone.Find(from); !ok {
		return
	}
	m.count(from, sentAt)
}

const witness = "\x00witness"

// ReceiveWitness counts the table's vote, whose commit was sent at sentAt in a generation.
func (m *Machine) ReceiveWitness(sentAt time.Time, generation uint64) {
	if !m.zone.Witness || generation != m.zone.Generation {
		return
	}
	m.count(witness, sentAt)
}

func (m *Machine) count(voter string, sentAt time.Time) {
	if m.lost || voter == m.self.Host || !sentAt.After(m.votes[voter]) {
		return
	}
	m.votes[voter] = sentAt
	m.extend()
}

// extend moves the lease's end to the term after the oldest vote of the newest quorum; the own vote is always there.
func (m *Machine) extend() {
	others := m.zone.Quorum() - 1
	if len(m.votes) < others || others == 0 {
		return
	}
	times := make([]time.Time, 0, len(m.votes))
	for _, sentAt := range m.votes {
		times = append(times, sentAt)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	end := times[others-1].Add(m.term)
	if end.After(m.until) {
		m.until = end
	}
}

// NeedsWitness reports whether the lease ends within a time unless the table votes.
func (m *Machine) NeedsWitness(within time.Duration, now time.Time) bool {
	return m.zone.Witness && m.until.Before(now.Add(within))
}

// Promise answers whether this voter agrees that a silent incarnation be reclaimed in a generation.
// It stays bound until it adopts a later generation.
func (m *Machine) Promise(host string, epoch, generation uint64, now time.Time) bool {
	if m.lost || generation != m.zone.Generation || host == m.self.Host || !m.zone.HasMember(host, epoch) {
		return false
	}
	if !m.silent(host, now) {
		return false
	}
	m.promised[host] = epoch
	return true
}

// silent reports that every vote given to a host has ended, those of an earlier incarnation of this voter included.
func (m *Machine) silent(host string, now time.Time) bool {
	last := m.given[host]
	if last.Before(m.started) {
		last = m.started
	}
	return now.Sub(last) > m.term+m.margin
}

// Silent returns the members whose reclaim may be asked for: silent, in a generation known for a whole term.
func (m *Machine) Silent(now time.Time) []wharfzone.Member {
	if m.lost || now.Sub(m.seen) <= m.term+m.margin {
		return nil
	}
	var silent []wharfzone.Member
	for _, member := range m.zone.Members {
		if member.Host != m.self.Host && m.silent(member.Host, now) {
			silent = append(silent, member)
		}
	}
	return silent
}

// Live returns the members heard within the term, this host included, in the row's order.
func (m *Machine) Live(now time.Time) []wharfzone.Member {
	var live []wharfzone.Member
	for _, member := range m.zone.Members {
		if member.Host == m.self.Host || now.Sub(m.heard[member.Host]) < m.term {
			live = append(live, member)
		}
	}
	return live
}

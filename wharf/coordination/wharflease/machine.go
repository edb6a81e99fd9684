package wharflease

import (
	"slices"
	"time"

	"wagtailwharf.example/wharf/state/wharfzone"
)

// Machine is the lease of one incarnation of a host, and the votes that the host gives to other members of its zone.
// It does no I/O and has no clock: the caller passes the time to each method. spec/lease.pml models its transitions.
type Machine struct {
	self      wharfzone.Member
	term      time.Duration
	margin    time.Duration
	zone      wharfzone.Zone
	started   time.Time            // start of this incarnation, which knows no votes given by earlier ones
	adoptedAt time.Time            // time at which zone was adopted
	votes     map[string]time.Time // by voter: sending time of the last renewal it granted
	expiry    time.Time
	grantedAt map[string]time.Time // by host: time of the last vote given to it
	lastHeard map[string]time.Time // by host: time of its last renewal request
	promised  map[string]uint64    // by host: epoch whose reclaim this voter has promised
	lost      bool
}

// Vote is a voter's answer to a renewal.
type Vote struct {
	Granted    bool
	Promised   bool
	Generation uint64
}

// New returns the Machine of an incarnation that has just joined zone.
func New(self wharfzone.Member, zone wharfzone.Zone, term, margin time.Duration, now time.Time) *Machine {
	return &Machine{
		self:      self,
		term:      term,
		margin:    margin,
		zone:      zone,
		started:   now,
		adoptedAt: now,
		votes:     map[string]time.Time{},
		grantedAt: map[string]time.Time{},
		lastHeard: map[string]time.Time{},
		promised:  map[string]uint64{},
	}
}

// Zone returns the newest zone membership known to this host.
func (m *Machine) Zone() wharfzone.Zone {
	return m.zone
}

// Self returns the member that holds the lease.
func (m *Machine) Self() wharfzone.Member {
	return m.self
}

// Expiry returns the time at which the lease expires unless it is renewed.
func (m *Machine) Expiry() time.Time {
	return m.expiry
}

// InForce reports whether the lease is valid at the given time.
func (m *Machine) InForce(now time.Time) bool {
	return !m.lost && now.Before(m.expiry)
}

// Lost reports whether the zone no longer contains this incarnation, so that the host must join again.
func (m *Machine) Lost() bool {
	return m.lost
}

// Adopt applies a newer zone membership and reports whether it was newer. It discards the votes of the older
// generation, which don't count in the new one.
func (m *Machine) Adopt(zone wharfzone.Zone, now time.Time) bool {
	if zone.Generation <= m.zone.Generation {
		return false
	}
	m.zone = zone
	m.adoptedAt = now
	clear(m.votes)
	clear(m.promised)
	if !zone.HasMember(m.self.Host, m.self.Epoch) {
		m.lost = true
		m.expiry = time.Time{}
	}
	return true
}

// Grant answers a renewal request from an incarnation of a host in a generation. It refuses the vote if this voter has
// promised the incarnation's reclaim.
func (m *Machine) Grant(host string, epoch, generation uint64, now time.Time) Vote {
	vote := Vote{Generation: m.zone.Generation}
	if m.lost || generation != m.zone.Generation || !m.zone.HasMember(host, epoch) {
		return vote
	}
	m.lastHeard[host] = now
	if m.promised[host] == epoch {
		vote.Promised = true
		return vote
	}
	m.grantedAt[host] = now
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
	m.recordVote(from, sentAt)
}

// witness is the voter name of the witness; the NUL byte sets it apart from host names.
const witness = "\x00witness"

// ReceiveWitness counts the vote of the witness, which is the platform's table, in a generation. The commit that
// recorded the vote was sent at sentAt.
func (m *Machine) ReceiveWitness(sentAt time.Time, generation uint64) {
	if !m.zone.Witness || generation != m.zone.Generation {
		return
	}
	m.recordVote(witness, sentAt)
}

func (m *Machine) recordVote(voter string, sentAt time.Time) {
	if m.lost || voter == m.self.Host || !sentAt.After(m.votes[voter]) {
		return
	}
	m.votes[voter] = sentAt
	m.extend()
}

// extend sets the expiry to one term after the oldest vote of the most recent quorum. The host's own vote always
// counts.
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
	if end.After(m.expiry) {
		m.expiry = end
	}
}

// NeedsWitness reports whether the lease expires within a duration unless the witness votes.
func (m *Machine) NeedsWitness(within time.Duration, now time.Time) bool {
	return m.zone.Witness && m.expiry.Before(now.Add(within))
}

// Promise reports whether this voter agrees to the reclaim of a silent incarnation in a generation. A voter that
// agrees stays bound until it adopts a later generation.
func (m *Machine) Promise(host string, epoch, generation uint64, now time.Time) bool {
	if m.lost || generation != m.zone.Generation || host == m.self.Host || !m.zone.HasMember(host, epoch) {
		return false
	}
	if !m.isSilent(host, now) {
		return false
	}
	m.promised[host] = epoch
	return true
}

// isSilent reports whether every vote given to a host has expired, including votes by an earlier incarnation of this
// voter.
func (m *Machine) isSilent(host string, now time.Time) bool {
	last := m.grantedAt[host]
	if last.Before(m.started) {
		last = m.started
	}
	return now.Sub(last) > m.term+m.margin
}

// Silent returns the members that may be reclaimed, since every vote that this host gave them has expired. It returns
// none until one term plus margin after this host has adopted the current generation.
func (m *Machine) Silent(now time.Time) []wharfzone.Member {
	if m.lost || now.Sub(m.adoptedAt) <= m.term+m.margin {
		return nil
	}
	var silent []wharfzone.Member
	for _, member := range m.zone.Members {
		if member.Host != m.self.Host && m.isSilent(member.Host, now) {
			silent = append(silent, member)
		}
	}
	return silent
}

// Live returns the members that requested a vote within the last term, and this host, in the order of the zone's row.
func (m *Machine) Live(now time.Time) []wharfzone.Member {
	var live []wharfzone.Member
	for _, member := range m.zone.Members {
		if member.Host == m.self.Host || now.Sub(m.lastHeard[member.Host]) < m.term {
			live = append(live, member)
		}
	}
	return live
}

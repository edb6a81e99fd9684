package wharflease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wagtailwharf.example/wharf/state/wharfzone"
)

const (
	term   = 4 * time.Second
	margin = 500 * time.Millisecond
	tick   = 250 * time.Millisecond
)

// cluster drives machines through the transitions of spec/lease.pml, with messages that are lost, delayed or
// duplicated.
type cluster struct {
	now                 time.Time
	table               wharfzone.Zone
	machines            map[string]*Machine
	reclaimed           []*Machine // reclaimed incarnations, which may still run
	votes               []vote
	witnessObservations map[string]observation
	requests            []*request
}

type vote struct {
	to, from string
	epoch    uint64
	sentAt   time.Time
	vote     Vote
}

type observation struct {
	votes uint64
	epoch uint64
	since time.Time
}

func newCluster(hosts int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), machines: map[string]*Machine{}, witnessObservations: map[string]observation{}}
	for i := range hosts {
		c.join(fmt.Sprintf("h%d", i))
		for _, m := range c.machines {
			m.Adopt(c.table, c.now)
		}
	}
	return c
}

func (c *cluster) join(host string) {
	if c.machines[host] != nil && !c.machines[host].Lost() {
		return
	}
	if len(c.table.Members) > 0 && !c.adopted() {
		return
	}
	next, self := c.table.WithMember(wharfzone.Member{Host: host})
	if c.table.Generation == 0 {
		next.Witness = true
	}
	c.table = next
	c.machines[host] = New(self, next, term, margin, c.now)
}

func (c *cluster) adopted() bool {
	count := 0
	if c.table.Witness {
		count++
	}
	for _, member := range c.table.Members {
		m := c.machines[member.Host]
		if m == nil || m.Zone().Generation == c.table.Generation {
			count++
		}
	}
	return count >= c.table.Quorum()
}

func (c *cluster) commitZone(next wharfzone.Zone) {
	if c.adopted() {
		c.table = next
	}
}

// renew sends a renewal from host to all other hosts except those in cut; the votes wait for delivery.
func (c *cluster) renew(host string, cut ...string) {
	m := c.machines[host]
	if m == nil || m.Lost() {
		return
	}
	for from, voter := range c.machines {
		if from == host || voter == nil || slices.Contains(cut, from) {
			continue
		}
		c.votes = append(c.votes, vote{
			to: host, from: from, epoch: m.Self().Epoch, sentAt: c.now,
			vote: voter.Grant(host, m.Self().Epoch, m.Zone().Generation, c.now),
		})
	}
}

func (c *cluster) deliver(index int, duplicate bool) {
	v := c.votes[index]
	if !duplicate {
		c.votes = append(c.votes[:index], c.votes[index+1:]...)
	}
	if m := c.machines[v.to]; m != nil && m.Self().Epoch == v.epoch {
		m.Receive(v.from, v.sentAt, v.vote)
	}
}

func (c *cluster) voteByWitness(host string) {
	m := c.machines[host]
	if m == nil || !c.table.Witness || !c.table.HasMember(host, m.Self().Epoch) {
		return
	}
	m.Adopt(c.table, c.now)
	c.table = c.table.WithVote(host)
	m.ReceiveWitness(c.now, c.table.Generation)
}

func (c *cluster) witnessAgrees(target wharfzone.Member) bool {
	votes := c.table.Votes[target.Host]
	seen, ok := c.witnessObservations[target.Host]
	if !ok || seen.votes != votes || seen.epoch != target.Epoch {
		c.witnessObservations[target.Host] = observation{votes: votes, epoch: target.Epoch, since: c.now}
		return false
	}
	return c.now.Sub(seen.since) > term+margin
}

// request is a pending reclaim. Its agreements count only in the generation it was made in.
type request struct {
	by         string
	target     wharfzone.Member
	generation uint64
	agreed     map[string]bool
}

// requestReclaim makes a host request the reclaim of all silent members, starting with its own promise.
func (c *cluster) requestReclaim(host string) {
	m := c.machines[host]
	if m == nil || m.Zone().Generation != c.table.Generation {
		return
	}
	for _, target := range m.Silent(c.now) {
		r := &request{by: host, target: target, generation: c.table.Generation, agreed: map[string]bool{}}
		if m.Promise(target.Host, target.Epoch, r.generation, c.now) {
			r.agreed[host] = true
		}
		c.requests = append(c.requests, r)
	}
}

// agree makes one voter answer a request.
func (c *cluster) agree(r *request, voter string) {
	m := c.machines[voter]
	if m == nil || voter == r.by {
		return
	}
	if m.Promise(r.target.Host, r.target.Epoch, r.generation, c.now) {
		r.agreed[voter] = true
	}
}

// commitReclaim commits a reclaim if a quorum has agreed and the generation is unchanged.
func (c *cluster) commitReclaim(r *request) {
	count := len(r.agreed)
	if c.table.Generation != r.generation {
		return
	}
	if c.table.Witness && c.witnessAgrees(r.target) {
		count++
	}
	if count < c.table.Quorum() {
		return
	}
	c.table = c.table.WithoutHost(r.target.Host)
	if old := c.machines[r.target.Host]; old != nil && old.Self().Epoch == r.target.Epoch {
		c.reclaimed = append(c.reclaimed, old)
	}
}

func (c *cluster) checkInvariant(t *rapid.T) {
	for _, m := range c.reclaimed {
		if !c.table.HasMember(m.Self().Host, m.Self().Epoch) && m.InForce(c.now) {
			t.Fatalf("%s#%d was reclaimed while its lease is in force", m.Self().Host, m.Self().Epoch)
		}
	}
}

func TestReclaimedLeaseIsNeverInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"h0", "h1", "h2", "h3"}[:rapid.IntRange(2, 4).Draw(t, "hosts")]
		c := newCluster(len(names))
		c.commitZone(c.table.WithWitness(c.table.NeedsWitness()))
		for _, m := range c.machines {
			m.Adopt(c.table, c.now)
		}
		for range rapid.IntRange(40, 160).Draw(t, "steps") {
			c.step(t, names)
			c.checkInvariant(t)
		}
	})
}

func (c *cluster) step(t *rapid.T, names []string) {
	host := rapid.SampledFrom(names).Draw(t, "host")
	m := c.machines[host]
	switch rapid.IntRange(0, 19).Draw(t, "transition") {
	case 0, 1, 2:
		c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "ticks")) * tick)
	case 3, 4:
		c.now = c.now.Add(term + margin + tick)
	case 5, 6, 7:
		c.renew(host, rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "cut off from")...)
	case 8, 9, 10:
		for range min(len(c.votes), rapid.IntRange(1, 4).Draw(t, "votes")) {
			c.deliver(rapid.IntRange(0, len(c.votes)-1).Draw(t, "vote"), rapid.IntRange(0, 3).Draw(t, "doubled") == 0)
		}
	case 11:
		c.voteByWitness(host)
	case 12:
		if m != nil {
			m.Adopt(c.table, c.now)
		}
	case 13, 14:
		c.requestReclaim(host)
	case 15, 16:
		if len(c.requests) > 0 {
			c.agree(rapid.SampledFrom(c.requests).Draw(t, "request"), host)
		}
	case 17, 18:
		if len(c.requests) > 0 {
			c.commitReclaim(rapid.SampledFrom(c.requests).Draw(t, "request"))
		}
	case 19:
		c.rareStep(t, host, m)
	}
}

func (c *cluster) rareStep(t *rapid.T, host string, m *Machine) {
	switch rapid.IntRange(0, 3).Draw(t, "rare transition") {
	case 0:
		c.commitZone(c.table.WithWitness(!c.table.Witness))
	case 1:
		c.commitZone(c.table.NextGeneration())
	case 2:
		c.join(host)
	case 3:
		if m != nil && !m.Lost() {
			c.machines[host] = nil // the process exits; its next incarnation has no state
		}
	}
}

func TestLeaseRequiresQuorum(t *testing.T) {
	c := newCluster(3)
	m := c.machines["h0"]
	assert.Assert(t, !m.InForce(c.now))
	for _, other := range c.machines {
		other.Adopt(c.table, c.now)
	}
	c.renew("h0")
	assert.Equal(t, len(c.votes), 2)
	c.deliver(0, false)
	assert.Assert(t, !m.InForce(c.now), "two of four votes, including the host's own, are no majority")
	c.deliver(0, false)
	assert.Assert(t, m.InForce(c.now))
	assert.Assert(t, m.InForce(c.now.Add(term-tick)))
	assert.Assert(t, !m.InForce(c.now.Add(term)), "a paused holder detects that its lease has expired")
}

func TestPromiseBindsUntilNextGeneration(t *testing.T) {
	c := newCluster(2)
	holder, voter := c.machines["h0"], c.machines["h1"]
	holder.Adopt(c.table, c.now)
	c.now = c.now.Add(term + margin + tick)
	generation := c.table.Generation
	assert.Assert(t, voter.Promise("h0", holder.Self().Epoch, generation, c.now))
	vote := voter.Grant("h0", holder.Self().Epoch, generation, c.now)
	assert.Assert(t, !vote.Granted && vote.Promised)
	voter.Adopt(c.table.NextGeneration(), c.now)
	assert.Assert(t, voter.Grant("h0", holder.Self().Epoch, generation+1, c.now).Granted)
}

func TestRestartedVoterDelaysPromise(t *testing.T) {
	c := newCluster(2)
	voter := c.machines["h1"]
	assert.Assert(t, !voter.Promise("h0", c.machines["h0"].Self().Epoch, c.table.Generation, c.now.Add(term)))
	assert.Equal(t, len(voter.Silent(c.now.Add(term))), 0)
	assert.Equal(t, len(voter.Silent(c.now.Add(term+margin+tick))), 1)
}

func TestReclaimWaitsOneTermAfterNewGeneration(t *testing.T) {
	c := newCluster(2)
	m := c.machines["h0"]
	c.now = c.now.Add(term + margin + tick)
	assert.Equal(t, len(m.Silent(c.now)), 1)
	m.Adopt(c.table.NextGeneration(), c.now)
	assert.Equal(t, len(m.Silent(c.now.Add(term))), 0, "leases of the previous generation may still be in force")
	assert.Equal(t, len(m.Silent(c.now.Add(term+margin+tick))), 1)
}

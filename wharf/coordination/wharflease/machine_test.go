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

// world drives machines through the transitions of spec/lease.pml, with messages that are lost, late or doubled.
type world struct {
	now      time.Time
	table    wharfzone.Zone
	machines map[string]*Machine
	gone     []*Machine // incarnations that were reclaimed, which may still run
	votes    []vote
	watched  map[string]watch
	requests []*request
}

type vote struct {
	to, from string
	epoch    uint64
	sentAt   time.Time
	vote     Vote
}

type watch struct {
	votes uint64
	epoch uint64
	since time.Time
}

func newWorld(hosts int) *world {
	w := &world{now: time.Unix(1000, 0), machines: map[string]*Machine{}, watched: map[string]watch{}}
	for i := range hosts {
		w.join(fmt.Sprintf("h%d", i))
		for _, m := range w.machines {
			m.Adopt(w.table, w.now)
		}
	}
	return w
}

func (w *world) join(host string) {
	if w.machines[host] != nil && !w.machines[host].Lost() {
		return
	}
	if len(w.table.Members) > 0 && !w.adopted() {
		return
	}
	next, self := w.table.WithMember(wharfzone.Member{Host: host})
	if w.table.Generation == 0 {
		next.Witness = true
	}
	w.table = next
	w.machines[host] = New(self, next, term, margin, w.now)
}

func (w *world) adopted() bool {
	count := 0
	if w.table.Witness {
		count++
	}
	for _, member := range w.table.Members {
		m := w.machines[member.Host]
		if m == nil || m.Zone().Generation == w.table.Generation {
			count++
		}
	}
	return count >= w.table.Quorum()
}

func (w *world) change(next wharfzone.Zone) {
	if w.adopted() {
		w.table = next
	}
}

// renew has host ask every other one but those it is cut off from; each vote waits to be delivered.
func (w *world) renew(host string, cut ...string) {
	m := w.machines[host]
	if m == nil || m.Lost() {
		return
	}
	for from, voter := range w.machines {
		if from == host || voter == nil || slices.Contains(cut, from) {
			continue
		}
		w.votes = append(w.votes, vote{
			to: host, from: from, epoch: m.Self().Epoch, sentAt: w.now,
			vote: voter.Grant(host, m.Self().Epoch, m.Zone().Generation, w.now),
		})
	}
}

func (w *world) deliver(index int, keep bool) {
	v := w.votes[index]
	if !keep {
		w.votes = append(w.votes[:index], w.votes[index+1:]...)
	}
	if m := w.machines[v.to]; m != nil && m.Self().Epoch == v.epoch {
		m.Receive(v.from, v.sentAt, v.vote)
	}
}

func (w *world) voteByTable(host string) {
	m := w.machines[host]
	if m == nil || !w.table.Witness || !w.table.HasMember(host, m.Self().Epoch) {
		return
	}
	m.Adopt(w.table, w.now)
	w.table = w.table.WithVote(host)
	m.ReceiveWitness(w.now, w.table.Generation)
}

func (w *world) tableAgrees(target wharfzone.Member) bool {
	votes := w.table.Votes[target.Host]
	seen, ok := w.watched[target.Host]
	if !ok || seen.votes != votes || seen.epoch != target.Epoch {
		w.watched[target.Host] = watch{votes: votes, epoch: target.Epoch, since: w.now}
		return false
	}
	return w.now.Sub(seen.since) > term+margin
}

// request is a reclaim that is being asked for: its agreements count only in the generation asked about.
type request struct {
	by         string
	target     wharfzone.Member
	generation uint64
	agreed     map[string]bool
}

// ask has a host begin to ask for a silent member's reclaim, with its own promise.
func (w *world) ask(host string) {
	m := w.machines[host]
	if m == nil || m.Zone().Generation != w.table.Generation {
		return
	}
	for _, target := range m.Silent(w.now) {
		r := &request{by: host, target: target, generation: w.table.Generation, agreed: map[string]bool{}}
		if m.Promise(target.Host, target.Epoch, r.generation, w.now) {
			r.agreed[host] = true
		}
		w.requests = append(w.requests, r)
	}
}

// agree has one voter answer a request.
func (w *world) agree(r *request, voter string) {
	m := w.machines[voter]
	if m == nil || voter == r.by {
		return
	}
	if m.Promise(r.target.Host, r.target.Epoch, r.generation, w.now) {
		r.agreed[voter] = true
	}
}

// commit reclaims if enough have agreed and the table's generation is still the one asked about.
func (w *world) commit(r *request) {
	count := len(r.agreed)
	if w.table.Generation != r.generation {
		return
	}
	if w.table.Witness && w.tableAgrees(r.target) {
		count++
	}
	if count < w.table.Quorum() {
		return
	}
	w.table = w.table.WithoutHost(r.target.Host)
	if old := w.machines[r.target.Host]; old != nil && old.Self().Epoch == r.target.Epoch {
		w.gone = append(w.gone, old)
	}
}

func (w *world) check(t *rapid.T) {
	for _, m := range w.gone {
		if !w.table.HasMember(m.Self().Host, m.Self().Epoch) && m.InForce(w.now) {
			t.Fatalf("%s#%d was reclaimed and its lease still holds", m.Self().Host, m.Self().Epoch)
		}
	}
}

func TestNoLeaseOutlivesItsReclaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"h0", "h1", "h2", "h3"}[:rapid.IntRange(2, 4).Draw(t, "hosts")]
		w := newWorld(len(names))
		w.change(w.table.WithWitness(w.table.NeedsWitness()))
		for _, m := range w.machines {
			m.Adopt(w.table, w.now)
		}
		for range rapid.IntRange(40, 160).Draw(t, "steps") {
			w.step(t, names)
			w.check(t)
		}
	})
}

func (w *world) step(t *rapid.T, names []string) {
	host := rapid.SampledFrom(names).Draw(t, "host")
	m := w.machines[host]
	switch rapid.IntRange(0, 19).Draw(t, "transition") {
	case 0, 1, 2:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "ticks")) * tick)
	case 3, 4:
		w.now = w.now.Add(term + margin + tick)
	case 5, 6, 7:
		w.renew(host, rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "cut off from")...)
	case 8, 9, 10:
		for range min(len(w.votes), rapid.IntRange(1, 4).Draw(t, "votes")) {
			w.deliver(rapid.IntRange(0, len(w.votes)-1).Draw(t, "vote"), rapid.IntRange(0, 3).Draw(t, "doubled") == 0)
		}
	case 11:
		w.voteByTable(host)
	case 12:
		if m != nil {
			m.Adopt(w.table, w.now)
		}
	case 13, 14:
		w.ask(host)
	case 15, 16:
		if len(w.requests) > 0 {
			w.agree(rapid.SampledFrom(w.requests).Draw(t, "request"), host)
		}
	case 17, 18:
		if len(w.requests) > 0 {
			w.commit(rapid.SampledFrom(w.requests).Draw(t, "request"))
		}
	case 19:
		w.rareStep(t, host, m)
	}
}

func (w *world) rareStep(t *rapid.T, host string, m *Machine) {
	switch rapid.IntRange(0, 3).Draw(t, "rare transition") {
	case 0:
		w.change(w.table.WithWitness(!w.table.Witness))
	case 1:
		w.change(w.table.NextGeneration())
	case 2:
		w.join(host)
	case 3:
		if m != nil && !m.Lost() {
			w.machines[host] = nil // the process ends; its next incarnation knows nothing
		}
	}
}

func TestLeaseNeedsAQuorum(t *testing.T) {
	w := newWorld(3)
	m := w.machines["h0"]
	assert.Assert(t, !m.InForce(w.now))
	for _, other := range w.machines {
		other.Adopt(w.table, w.now)
	}
	w.renew("h0")
	assert.Equal(t, len(w.votes), 2)
	w.deliver(0, false)
	assert.Assert(t, !m.InForce(w.now), "two of four votes, the own one included, are no majority")
	w.deliver(0, false)
	assert.Assert(t, m.InForce(w.now))
	assert.Assert(t, m.InForce(w.now.Add(term-tick)))
	assert.Assert(t, !m.InForce(w.now.Add(term)), "a holder that was paused finds out")
}

func TestPromiseBindsUntilALaterGeneration(t *testing.T) {
	w := newWorld(2)
	holder, voter := w.machines["h0"], w.machines["h1"]
	holder.Adopt(w.table, w.now)
	w.now = w.now.Add(term + margin + tick)
	generation := w.table.Generation
	assert.Assert(t, voter.Promise("h0", holder.Self().Epoch, generation, w.now))
	vote := voter.Grant("h0", holder.Self().Epoch, generation, w.now)
	assert.Assert(t, !vote.Granted && vote.Promised)
	voter.Adopt(w.table.NextGeneration(), w.now)
	assert.Assert(t, voter.Grant("h0", holder.Self().Epoch, generation+1, w.now).Granted)
}

func TestRestartedVoterDoesNotPromiseAtOnce(t *testing.T) {
	w := newWorld(2)
	voter := w.machines["h1"]
	assert.Assert(t, !voter.Promise("h0", w.machines["h0"].Self().Epoch, w.table.Generation, w.now.Add(term)))
	assert.Equal(t, len(voter.Silent(w.now.Add(term))), 0)
	assert.Equal(t, len(voter.Silent(w.now.Add(term+margin+tick))), 1)
}

func TestReclaimWaitsATermInANewGeneration(t *testing.T) {
	w := newWorld(2)
	m := w.machines["h0"]
	w.now = w.now.Add(term + margin + tick)
	assert.Equal(t, len(m.Silent(w.now)), 1)
	m.Adopt(w.table.NextGeneration(), w.now)
	assert.Equal(t, len(m.Silent(w.now.Add(term))), 0, "leases of the generation before the last may still hold")
	assert.Equal(t, len(m.Silent(w.now.Add(term+margin+tick))), 1)
}

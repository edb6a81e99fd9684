package wharflease

import (
	"fmt"
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
	dead     map[string]bool
	gone     []*Machine // incarnations that were reclaimed, which may still run
	votes    []vote
	watched  map[string]watch
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
	w := &world{now: time.Unix(1000, 0), machines: map[string]*Machine{}, dead: map[string]bool{}, watched: map[string]watch{}}
	for i := range hosts {
		w.join(fmt.Sprintf("h%d", i))
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
	next, self := w.table.With(wharfzone.Member{Host: host})
	if w.table.Generation == 0 {
		next.Witness = true
	}
	w.table = next
	w.machines[host] = New(self, next, term, margin, w.now)
	w.dead[host] = false
}

func (w *world) adopted() bool {
	count := 0
	if w.table.Witness {
		count++
	}
	for _, member := range w.table.Members {
		m := w.machines[member.Host]
		fresh := m == nil && !w.dead[member.Host]
		if fresh || (m != nil && !w.dead[member.Host] && m.Zone().Generation == w.table.Generation) {
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

// renew has host ask every other one, each of whose votes waits to be delivered.
func (w *world) renew(host string) {
	m := w.machines[host]
	if m == nil || m.Lost() {
		return
	}
	for from, voter := range w.machines {
		if from == host || voter == nil || w.dead[from] {
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
	if m == nil || !w.table.Witness || !w.table.Holds(host, m.Self().Epoch) {
		return
	}
	m.Adopt(w.table, w.now)
	w.table = w.table.Voted(host)
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

// reclaim has host ask for a silent member's reclaim, with the agreement of those in asked.
func (w *world) reclaim(host string, asked []string) {
	m := w.machines[host]
	if m == nil || m.Zone().Generation != w.table.Generation {
		return
	}
	for _, target := range m.Silent(w.now) {
		if w.agreed(m, target, asked) < w.table.Quorum() {
			continue
		}
		w.table = w.table.Without(target.Host)
		if old := w.machines[target.Host]; old != nil {
			w.gone = append(w.gone, old)
		}
		return
	}
}

func (w *world) agreed(m *Machine, target wharfzone.Member, asked []string) int {
	count := 0
	if w.table.Witness && w.tableAgrees(target) {
		count++
	}
	if m.Promise(target.Host, target.Epoch, w.table.Generation, w.now) {
		count++
	}
	for _, from := range asked {
		voter := w.machines[from]
		if voter == m || voter == nil || w.dead[from] {
			continue
		}
		voter.Adopt(w.table, w.now)
		if voter.Promise(target.Host, target.Epoch, w.table.Generation, w.now) {
			count++
		}
	}
	return count
}

func (w *world) check(t *rapid.T) {
	for _, m := range w.gone {
		if !w.table.Holds(m.Self().Host, m.Self().Epoch) && m.InForce(w.now) {
			t.Fatalf("%s#%d was reclaimed and its lease still holds", m.Self().Host, m.Self().Epoch)
		}
	}
}

func TestNoLeaseOutlivesItsReclaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "hosts"))
		names := []string{"h0", "h1", "h2", "h3"}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.step(t, names)
			w.check(t)
		}
	})
}

func (w *world) step(t *rapid.T, names []string) {
	host := rapid.SampledFrom(names).Draw(t, "host")
	m := w.machines[host]
	switch rapid.IntRange(0, 13).Draw(t, "transition") {
	case 0, 1, 2:
		w.now = w.now.Add(tick)
	case 3:
		w.now = w.now.Add(term + margin + tick)
	case 4, 5:
		w.renew(host)
	case 6, 7:
		if len(w.votes) > 0 {
			w.deliver(rapid.IntRange(0, len(w.votes)-1).Draw(t, "vote"), rapid.Bool().Draw(t, "doubled"))
		}
	case 8:
		w.voteByTable(host)
	case 9:
		if m != nil {
			m.Adopt(w.table, w.now)
		}
	case 10:
		w.reclaim(host, rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "asked"))
	case 11:
		w.change(w.table.WithWitness(!w.table.Witness))
	case 12:
		w.change(w.table.Reaffirmed())
	case 13:
		if m == nil || m.Lost() {
			w.join(host)
		} else if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
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
	voter.Adopt(w.table.Reaffirmed(), w.now)
	assert.Assert(t, voter.Grant("h0", holder.Self().Epoch, generation+1, w.now).Granted)
}

func TestRestartedVoterDoesNotPromiseAtOnce(t *testing.T) {
	w := newWorld(2)
	voter := w.machines["h1"]
	assert.Assert(t, !voter.Promise("h0", w.machines["h0"].Self().Epoch, w.table.Generation, w.now.Add(term)))
	assert.Equal(t, len(voter.Silent(w.now.Add(term))), 0)
	assert.Equal(t, len(voter.Silent(w.now.Add(term+margin+tick))), 1)
}

package wharfschedule

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// play runs items one after another on some slots, in the order that compare gives, and returns how many are on time.
func play(slots int, items []Candidate, compare func(a, b Candidate) int) int {
	const step = 100 * time.Millisecond
	type running struct{ due, ends time.Duration }
	var busy []running
	waiting := slices.Clone(items)
	onTime := 0
	for now := time.Duration(0); len(waiting)+len(busy) > 0; now += step {
		busy = slices.DeleteFunc(busy, func(r running) bool {
			if r.ends > now {
				return false
			}
			if r.ends+margin <= r.due {
				onTime++
			}
			return true
		})
		at := func(c Candidate) Candidate { return Candidate{Due: c.Due - now, Remaining: c.Remaining} }
		slices.SortStableFunc(waiting, func(a, b Candidate) int { return compare(at(a), at(b)) })
		for len(busy) < slots && len(waiting) > 0 {
			next := waiting[0]
			waiting = waiting[1:]
			busy = append(busy, running{due: next.Due, ends: now + next.Remaining})
		}
	}
	return onTime
}

// backlog is twice what eight slots can do until it is due, handed in over ten seconds.
func backlog() []Candidate {
	var items []Candidate
	for i := range 64 {
		items = append(items, Candidate{Due: 18*time.Second + time.Duration(i/6)*time.Second, Remaining: time.Duration(4+i%3) * time.Second})
	}
	return items
}

func TestBacklogOfTwiceTheCapacityKeepsHalfOfItOnTime(t *testing.T) {
	byDue := func(a, b Candidate) int { return int(a.Due - b.Due) }
	onTime, onTimeByDue := play(8, backlog(), Compare), play(8, backlog(), byDue)
	t.Logf("on time: %d by need, %d by due time, of %d", onTime, onTimeByDue, len(backlog()))
	assert.Assert(t, onTime >= 30, "of the 40 that eight slots can do in the time: %d", onTime)
	assert.Assert(t, onTime >= onTimeByDue)
}

func TestLightLoadIsAllOnTime(t *testing.T) {
	items := backlog()[:24]
	assert.Equal(t, play(8, items, Compare), len(items))
}

func TestItemsThatCanBeOnTimeGoFirst(t *testing.T) {
	soon := Candidate{Due: 6 * time.Second, Remaining: 5 * time.Second}
	later := Candidate{Due: 15 * time.Second, Remaining: 5 * time.Second}
	lost := Candidate{Due: 3 * time.Second, Remaining: 5 * time.Second}
	almostDone := Candidate{Due: -time.Second, Remaining: time.Second}
	items := []Candidate{lost, later, almostDone, soon}
	slices.SortFunc(items, Compare)
	assert.DeepEqual(t, items, []Candidate{soon, later, almostDone, lost})
	assert.Assert(t, lost.ReservedSlots() > soon.ReservedSlots(), "items that are late anyway leave more room")
}

package wharfschedule

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulate runs items on a number of slots in the order given by compare, and returns how many meet their deadlines.
func simulate(slots int, items []Candidate, compare func(a, b Candidate) int) int {
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
			if r.ends+resultDelay <= r.due {
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

// overload returns items submitted over ten seconds that need twice the capacity of eight slots until their deadlines.
func overload() []Candidate {
	var items []Candidate
	for i := range 64 {
		items = append(items, Candidate{Due: 18*time.Second + time.Duration(i/6)*time.Second, Remaining: time.Duration(4+i%3) * time.Second})
	}
	return items
}

func TestOverloadKeepsHalfOnTime(t *testing.T) {
	earliestDeadline := func(a, b Candidate) int { return int(a.Due - b.Due) }
	onTime, onTimeByDue := simulate(8, overload(), Compare), simulate(8, overload(), earliestDeadline)
	t.Logf("on time: %d with Compare, %d with earliest deadline first, of %d", onTime, onTimeByDue, len(overload()))
	assert.Assert(t, onTime >= 30, "%d of the 40 items that eight slots can finish in time", onTime)
	assert.Assert(t, onTime >= onTimeByDue)
}

func TestLightLoadMeetsAllDeadlines(t *testing.T) {
	items := overload()[:24]
	assert.Equal(t, simulate(8, items, Compare), len(items))
}

func TestCompare(t *testing.T) {
	urgent := Candidate{Due: 6 * time.Second, Remaining: 5 * time.Second}
	later := Candidate{Due: 15 * time.Second, Remaining: 5 * time.Second}
	missed := Candidate{Due: 3 * time.Second, Remaining: 5 * time.Second}
	almostDone := Candidate{Due: -time.Second, Remaining: time.Second}
	items := []Candidate{missed, later, almostDone, urgent}
	slices.SortFunc(items, Compare)
	assert.DeepEqual(t, items, []Candidate{urgent, later, almostDone, missed})
	assert.Assert(t, missed.ReservedSlots() > urgent.ReservedSlots(), "late items leave more slots to others")
}

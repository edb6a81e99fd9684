package wharftimeout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfroute"
)

var route = &wharfroute.Route{Objective: 300 * time.Millisecond, GapObjective: 250 * time.Millisecond, Priority: 2}

func TestWaitLeavesTimeForAReturn(t *testing.T) {
	assert.Assert(t, SlotWait(route, 0, false) <= route.Objective/4)
	assert.Assert(t, SlotWait(route, 0, false) > route.Objective/10)
	assert.Equal(t, SlotWait(route, route.Objective, false), time.Duration(0))
	assert.Equal(t, SlotWait(route, route.Objective, true), moveWait, "a request that was sent before is late already")
}

func TestSilenceOfRequestsThatCanNotGoElsewhereIsNotCutShort(t *testing.T) {
	const left = 4 * time.Second
	first, gap := IdleTimeouts(route, false, left)
	assert.Equal(t, first, left)
	assert.Equal(t, gap, left)
	first, gap = IdleTimeouts(route, true, left)
	assert.Assert(t, first > route.Objective && first < left)
	assert.Assert(t, gap > route.GapObjective && gap < left)
	first, gap = IdleTimeouts(route, true, 100*time.Millisecond)
	assert.Equal(t, first, 100*time.Millisecond)
	assert.Equal(t, gap, 100*time.Millisecond)
}

// TestReturnsAreSpread plays a burst that turns a hundred callers away at once: no tenth of a second gets more than a
// third of them back, and nobody is asked to wait for longer than it can.
func TestReturnsAreSpread(t *testing.T) {
	returns := map[int]int{}
	for range 100 {
		wait := RetryAfter(5 * time.Second)
		assert.Assert(t, wait <= time.Duration(returnShare*float64(5*time.Second)))
		returns[int(wait/(100*time.Millisecond))]++
	}
	for _, count := range returns {
		assert.Assert(t, count <= 33, "%v", returns)
	}
	assert.Assert(t, RetryAfter(time.Second) <= 300*time.Millisecond)
	assert.Assert(t, UnavailableRetryAfter(time.Second) <= 300*time.Millisecond)
}

func TestOrganisationsPriorityGoesBeforeTheRoutes(t *testing.T) {
	assert.Equal(t, QueueWeight(route, nil), 1.0/3)
	assert.Equal(t, QueueWeight(route, &wharfroute.Organisation{}), 1.0/3)
	assert.Equal(t, QueueWeight(route, &wharfroute.Organisation{HasPriority: true}), 1.0)
}

// TestCallersWhoseTimeIsUpAreToldWhenToComeBack is seed 100 of the soak: a host that had stood still for longer than its
// callers' time refused them without one.
func TestCallersWhoseTimeIsUpAreToldWhenToComeBack(t *testing.T) {
	for _, left := range []time.Duration{0, -time.Second} {
		assert.Assert(t, RetryAfter(left) >= returnLeast)
		assert.Assert(t, UnavailableRetryAfter(left) >= serviceReturn)
		assert.Equal(t, CapRetryAfter(time.Second, left), time.Second)
	}
	assert.Equal(t, CapRetryAfter(time.Second, time.Minute), time.Second)
	assert.Assert(t, CapRetryAfter(time.Second, 500*time.Millisecond) < 200*time.Millisecond)
}

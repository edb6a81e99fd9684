package wharftimeout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfroute"
)

var route = &wharfroute.Route{Objective: 300 * time.Millisecond, GapObjective: 250 * time.Millisecond, Priority: 2}

func TestSlotWaitLeavesTimeForARetry(t *testing.T) {
	assert.Assert(t, SlotWait(route, 0, false) <= route.Objective/4)
	assert.Assert(t, SlotWait(route, 0, false) > route.Objective/10)
	assert.Equal(t, SlotWait(route, route.Objective, false), time.Duration(0))
	assert.Equal(t, SlotWait(route, route.Objective, true), retrySlotWait, "a retried request is already late")
}

func TestIdleTimeouts(t *testing.T) {
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

// TestRetryAfterIsJittered guards against synchronized retries: of a hundred requests that are refused at once, at most
// a third retry in the same 100 ms, and none is asked to wait longer than its remaining time allows.
func TestRetryAfterIsJittered(t *testing.T) {
	retries := map[int]int{}
	for range 100 {
		wait := RetryAfter(5 * time.Second)
		assert.Assert(t, wait <= time.Duration(maxRetryAfterFraction*float64(5*time.Second)))
		retries[int(wait/(100*time.Millisecond))]++
	}
	for _, count := range retries {
		assert.Assert(t, count <= 33, "%v", retries)
	}
	assert.Assert(t, RetryAfter(time.Second) <= 300*time.Millisecond)
	assert.Assert(t, UnavailableRetryAfter(time.Second) <= 300*time.Millisecond)
}

func TestOrganisationPriorityOverridesRoutePriority(t *testing.T) {
	assert.Equal(t, QueueWeight(route, nil), 1.0/3)
	assert.Equal(t, QueueWeight(route, &wharfroute.Organisation{}), 1.0/3)
	assert.Equal(t, QueueWeight(route, &wharfroute.Organisation{HasPriority: true}), 1.0)
}

// TestRetryAfterIsPositiveAfterTheDeadline guards against refusals without a retry delay: a host that had been paused
// for longer than its callers' deadlines sent them (soak seed 100).
func TestRetryAfterIsPositiveAfterTheDeadline(t *testing.T) {
	for _, left := range []time.Duration{0, -time.Second} {
		assert.Assert(t, RetryAfter(left) >= minRetryAfter)
		assert.Assert(t, UnavailableRetryAfter(left) >= unavailableRetryAfter)
		assert.Equal(t, CapRetryAfter(time.Second, left), time.Second)
	}
	assert.Equal(t, CapRetryAfter(time.Second, time.Minute), time.Second)
	assert.Assert(t, CapRetryAfter(time.Second, 500*time.Millisecond) < 200*time.Millisecond)
}

// TestRampUpRetryAfterSpreadsReturns guards against callers that all come back at one moment, or later than they can wait.
func TestRampUpRetryAfterSpreadsReturns(t *testing.T) {
	for _, c := range []struct {
		rampUp, remaining, least, most time.Duration
	}{
		{4 * time.Second, 30 * time.Second, minRetryAfter, 4 * time.Second},
		{4 * time.Second, 5 * time.Second, minRetryAfter, 1500 * time.Millisecond},
		{0, 30 * time.Second, minRetryAfter, minRetryAfter + retryAfterJitter},
		{4 * time.Second, 500 * time.Millisecond, 150 * time.Millisecond, 150 * time.Millisecond},
	} {
		early, late := 0, 0
		for range 400 {
			delay := RampUpRetryAfter(c.rampUp, c.remaining)
			assert.Assert(t, delay >= c.least && delay <= c.most, "%v of %v and %v", delay, c.rampUp, c.remaining)
			if delay < (c.least+c.most)/2 {
				early++
			} else {
				late++
			}
		}
		if c.most > c.least {
			assert.Assert(t, early > 100 && late > 100, "%d early, %d late", early, late)
		}
	}
}

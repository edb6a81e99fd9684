package wharftimeout

import (
	"math/rand/v2"
	"time"

	"wagtailwharf.example/wharf/state/wharfroute"
)

const (
	// waitShare is the part of the objective that a request waits for a slot. The rest is for the answer itself, and for
	// a return that can still be on time.
	waitShare = 0.22
	// moveWait is how long a request that has been sent before waits for another endpoint; it is late already.
	moveWait = 600 * time.Millisecond
	// doubtShare is the part of the objective after which a silent endpoint gets no more requests until it answers.
	doubtShare = 0.8
	// silenceObjectives is the number of objectives that an endpoint may be silent before a request that may be
	// repeated goes elsewhere: longer than a full engine queue takes.
	silenceObjectives = 2.5
	// gapObjectives is the same for the pauses inside a stream.
	gapObjectives = 2
	// leastGap is the shortest pause inside a stream that counts as silence: an engine that preempts a request reads it
	// again.
	leastGap = 500 * time.Millisecond
	// returnLeast and returnSpread spread the returns of those that are turned away over the time in which a burst ends.
	returnLeast  = 300 * time.Millisecond
	returnSpread = 900 * time.Millisecond
	// returnShare is the largest part of the time left that a caller is asked to wait.
	returnShare = 0.3
	// serviceReturn is when to come back to a host that can't serve yet, or to a service without endpoints.
	serviceReturn = 500 * time.Millisecond
)

// SlotWait returns how long a request that came elapsed ago may wait for a slot.
func SlotWait(r *wharfroute.Route, elapsed time.Duration, moved bool) time.Duration {
	if moved {
		return moveWait
	}
	return max(0, time.Duration(waitShare*float64(r.Objective))-elapsed)
}

// QueueWeight returns an organisation's part of the slots that come free while requests wait: the lower its priority's number,
// or that of the route if it has none, the larger.
func QueueWeight(r *wharfroute.Route, o *wharfroute.Organisation) float64 {
	priority := r.Priority
	if o != nil && o.HasPriority {
		priority = o.Priority
	}
	return 1 / (1 + float64(max(0, priority)))
}

// StallTimeout returns the silence after which an endpoint gets no more requests until it answers.
func StallTimeout(r *wharfroute.Route) time.Duration {
	return time.Duration(doubtShare * float64(r.Objective))
}

// IdleTimeouts returns how long an endpoint may be silent before and within an answer; requests that can't go elsewhere wait
// until left has passed.
func IdleTimeouts(r *wharfroute.Route, mayMove bool, left time.Duration) (first, gap time.Duration) {
	if !mayMove {
		return left, left
	}
	first = min(left, time.Duration(silenceObjectives*float64(r.Objective)))
	gap = min(left, max(leastGap, gapObjectives*r.GapObjective))
	return first, gap
}

// RetryAfter returns when a caller that was turned away for lack of slots should come back.
func RetryAfter(left time.Duration) time.Duration {
	return CapRetryAfter(returnLeast+rand.N(returnSpread), left)
}

// CapRetryAfter returns a time to come back that leaves a caller most of the time that it has left. A caller whose time is up
// is told the whole time, for the next request that it makes.
func CapRetryAfter(wait, left time.Duration) time.Duration {
	if left <= 0 {
		return wait
	}
	return min(wait, time.Duration(returnShare*float64(left)))
}

// UnavailableRetryAfter returns when a caller should come back to a host or a service that can't serve it yet.
func UnavailableRetryAfter(left time.Duration) time.Duration {
	return CapRetryAfter(serviceReturn+rand.N(serviceReturn), left)
}

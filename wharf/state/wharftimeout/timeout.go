package wharftimeout

import (
	"math/rand/v2"
	"time"

	"wagtailwharf.example/wharf/state/wharfroute"
)

const (
	// slotWaitFraction is the fraction of the latency objective that a request waits for a slot. The rest is left for
	// the response, and for a retry that still meets the objective.
	slotWaitFraction = 0.22
	// retrySlotWait is how long a request that has been sent before waits for another endpoint. Such a request is
	// already late.
	retrySlotWait = 600 * time.Millisecond
	// stallFraction is the fraction of the latency objective after which an endpoint that has not responded is stalled.
	stallFraction = 0.8
	// firstEventFactor is the multiple of the latency objective after which a repeatable request is sent to another
	// endpoint if no event has arrived. This is longer than an engine takes to serve a full queue.
	firstEventFactor = 2.5
	// gapFactor is the multiple of the gap objective after which a request is sent to another endpoint if no further
	// event of its stream has arrived.
	gapFactor = 2
	// minGapTimeout is the lower bound of the timeout inside a stream, because an engine that preempts a request
	// recomputes its prompt before the next event.
	minGapTimeout = 500 * time.Millisecond
	// minRetryAfter and retryAfterJitter spread the retries of refused requests over the time in which a burst ends.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 900 * time.Millisecond
	// maxRetryAfterFraction is the largest fraction of the remaining time that a caller is asked to wait.
	maxRetryAfterFraction = 0.3
	// unavailableRetryAfter is the base retry delay for a host that cannot serve yet or a service without endpoints.
	unavailableRetryAfter = 500 * time.Millisecond
)

// SlotWait returns how long a request may wait for a slot. elapsed is the time since its arrival, and retried reports
// whether it, or the stream that it continues, has been sent to an endpoint before.
func SlotWait(r *wharfroute.Route, elapsed time.Duration, retried bool) time.Duration {
	if retried {
		return retrySlotWait
	}
	return max(0, time.Duration(slotWaitFraction*float64(r.Objective))-elapsed)
}

// QueueWeight returns the weight of an organisation in the queue for free slots. The weight falls as the priority
// number of the organisation, or of the route if the organisation has none, rises.
func QueueWeight(r *wharfroute.Route, o *wharfroute.Organisation) float64 {
	priority := r.Priority
	if o != nil && o.HasPriority {
		priority = o.Priority
	}
	return 1 / (1 + float64(max(0, priority)))
}

// StallTimeout returns how long a request waits for its first event before its endpoint counts as stalled, and gets
// fewer requests until it responds.
func StallTimeout(r *wharfroute.Route) time.Duration {
	return time.Duration(stallFraction * float64(r.Objective))
}

// IdleTimeouts returns how long to wait for the first event of a response and for each further event. A request that
// cannot be sent to another endpoint waits for the whole remaining time.
func IdleTimeouts(r *wharfroute.Route, canRetry bool, remaining time.Duration) (first, gap time.Duration) {
	if !canRetry {
		return remaining, remaining
	}
	first = min(remaining, time.Duration(firstEventFactor*float64(r.Objective)))
	gap = min(remaining, max(minGapTimeout, gapFactor*r.GapObjective))
	return first, gap
}

// RetryAfter returns the retry delay of a request that is refused for lack of slots, with random jitter.
func RetryAfter(remaining time.Duration) time.Duration {
	return CapRetryAfter(minRetryAfter+rand.N(retryAfterJitter), remaining)
}

// RampUpRetryAfter returns the retry delay of a request that is refused because all endpoints are cold. It is drawn
// evenly from the time until one of them is warm, as far as the caller can wait, since more returns at one moment than
// the endpoints' limits allow would be refused again.
func RampUpRetryAfter(rampUp, remaining time.Duration) time.Duration {
	spread := max(CapRetryAfter(max(rampUp, minRetryAfter+retryAfterJitter), remaining)-minRetryAfter, 1)
	return CapRetryAfter(minRetryAfter+rand.N(spread), remaining)
}

// CapRetryAfter limits a retry delay to a fraction of the caller's remaining time. If no time remains, it returns the
// delay unchanged, for the next request of the caller.
func CapRetryAfter(delay, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return delay
	}
	return min(delay, time.Duration(maxRetryAfterFraction*float64(remaining)))
}

// UnavailableRetryAfter returns the retry delay of a request to a host or service that cannot serve it yet, with random
// jitter.
func UnavailableRetryAfter(remaining time.Duration) time.Duration {
	return CapRetryAfter(unavailableRetryAfter+rand.N(unavailableRetryAfter), remaining)
}

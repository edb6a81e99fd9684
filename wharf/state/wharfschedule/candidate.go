package wharfschedule

import (
	"cmp"
	"time"
)

const (
	// resultDelay is the time from the end of an item's run until the caller reads its result: the time to list the
	// result and part of the caller's polling interval.
	resultDelay = 500 * time.Millisecond
	// lateReservedSlots is the number of slots per endpoint that an item leaves to others if it can no longer meet its
	// deadline.
	lateReservedSlots = 1
)

// Candidate is a waiting or running item.
type Candidate struct {
	Due       time.Duration // time until its result is due
	Remaining time.Duration // remaining run time if it is not preempted
}

// slack returns how long the item can wait and still meet its deadline.
func (c Candidate) slack() time.Duration {
	return c.Due - c.Remaining - resultDelay
}

// MeetsDeadline reports whether the item can still meet its deadline.
func (c Candidate) MeetsDeadline() bool {
	return c.slack() >= 0
}

// ReservedSlots returns the number of slots per endpoint that the item leaves to others.
func (c Candidate) ReservedSlots() int {
	if c.MeetsDeadline() {
		return 0
	}
	return lateReservedSlots
}

// Compare orders items by which should run first: those that can meet their deadline by earliest deadline, then the
// rest by shortest remaining run time.
func Compare(a, b Candidate) int {
	if a.MeetsDeadline() != b.MeetsDeadline() {
		if a.MeetsDeadline() {
			return -1
		}
		return 1
	}
	if a.MeetsDeadline() {
		return cmp.Compare(a.Due, b.Due)
	}
	return cmp.Compare(a.Remaining, b.Remaining)
}

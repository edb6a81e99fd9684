package wharfschedule

import (
	"cmp"
	"time"
)

const (
	// margin is the time that passes between the end of an item's run and a caller's reading of its result: its listing
	// and a part of the pause between two readings.
	margin = 500 * time.Millisecond
	// lateReserve is the number of slots of each endpoint that items leave to others which can't be on time any more.
	lateReserve = 1
)

// Candidate is an item that waits or runs.
type Candidate struct {
	Due       time.Duration // from now until its result is due
	Remaining time.Duration // of its run, if nothing stops it
}

// slack returns how long the item can wait and still be on time.
func (c Candidate) slack() time.Duration {
	return c.Due - c.Remaining - margin
}

// MeetsDeadline reports whether the item can still be on time.
func (c Candidate) MeetsDeadline() bool {
	return c.slack() >= 0
}

// ReservedSlots returns the slots of each endpoint that the item leaves to others.
func (c Candidate) ReservedSlots() int {
	if c.MeetsDeadline() {
		return 0
	}
	return lateReserve
}

// Compare orders the item that should run first before others: those that can be on time by their due time, the rest by
// what is left of their run.
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

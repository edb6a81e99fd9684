package wharfgrant

import (
	"sync/atomic"
	"time"
)

// Grant is a number of tokens that may be spent until they expire. It is safe for concurrent use and takes no locks.
type Grant struct {
	current atomic.Pointer[allotment]
}

type allotment struct {
	remaining atomic.Int64
	expires   time.Time
}

// Refill replaces the remaining tokens by a number of tokens with a new expiry.
func (g *Grant) Refill(tokens int, expires time.Time) {
	next := &allotment{expires: expires}
	next.remaining.Store(int64(tokens))
	g.current.Store(next)
}

// Spend takes one token and reports whether one was available.
func (g *Grant) Spend(now time.Time) bool {
	allotted := g.current.Load()
	if allotted == nil || !now.Before(allotted.expires) {
		return false
	}
	return allotted.remaining.Add(-1) >= 0
}

package wharfgrant

import (
	"sync/atomic"
	"time"
)

// Grant is a number of tokens that may be spent until it expires, safe for concurrent use without locks.
type Grant struct {
	current atomic.Pointer[allotment]
}

type allotment struct {
	remaining atomic.Int64
	expires   time.Time
}

// Refill replaces what is held by tokens that expire at the given time.
func (g *Grant) Refill(tokens int, expires time.Time) {
	next := &allotment{expires: expires}
	next.remaining.Store(int64(tokens))
	g.current.Store(next)
}

// Spend takes one token and reports whether there was one.
func (g *Grant) Spend(now time.Time) bool {
	held := g.current.Load()
	if held == nil || !now.Before(held.expires) {
		return false
	}
	return held.remaining.Add(-1) >= 0
}

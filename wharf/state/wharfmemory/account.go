package wharfmemory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// ErrExhausted means that there is no memory for a body, or that it was taken from a body that arrived too slowly.
var ErrExhausted = errors.New("the memory for callers is in use")

const (
	// SmallBytes is the size up to which a body may take memory of the reserve. Prompts of ordinary requests are smaller.
	SmallBytes = 16 << 10
	// stallBytes and stallTime define progress: a body that has not brought stallBytes within stallTime may be ended when
	// another one needs its memory. A link of 64 kbit/s is just fast enough.
	stallBytes = 4 << 10
	stallTime  = 500 * time.Millisecond
	// freeTime is how long a body waits for the memory of those that were ended for it: they only have to be woken.
	freeTime = 250 * time.Millisecond
)

// Account is the memory that all callers of a process may hold together. It is safe for concurrent use.
type Account struct {
	size     int64
	shared   *semaphore.Weighted
	reserve  *semaphore.Weighted // for small bodies, when shared is in use
	held     atomic.Int64
	ended    atomic.Int64
	mu       sync.Mutex
	arriving map[*Reservation]struct{}
	refused  map[*Reservation]struct{}
}

// New returns an account of size bytes and a reserve for small bodies beside them.
func New(size, reserve int64) *Account {
	return &Account{
		size: size, shared: semaphore.NewWeighted(size), reserve: semaphore.NewWeighted(reserve),
		arriving: map[*Reservation]struct{}{}, refused: map[*Reservation]struct{}{},
	}
}

// Size returns the number of bytes that one reservation can have, without the reserve.
func (a *Account) Size() int64 { return a.size }

// Held returns the number of bytes that are reserved.
func (a *Account) Held() int64 { return a.held.Load() }

// Ended returns the number of bodies that were ended because others needed their memory or connection.
func (a *Account) Ended() int64 { return a.ended.Load() }

// Reservation is the memory of one request. Only Received and the account's ending of it may run beside its other methods.
type Reservation struct {
	account  *Account
	end      func()
	shared   int64
	reserve  int64
	total    atomic.Int64 // shared and reserve
	received int64        // since markedAt; the account's mutex guards it
	markedAt time.Time    // when the body last had progress; the account's mutex guards it
	ended    atomic.Bool
}

// Open returns an empty reservation for a body that arrives. The account calls end, which must not block, if the body stalls
// and others need its memory. A nil end means that nothing arrives.
func (a *Account) Open(end func()) *Reservation {
	r := &Reservation{account: a, end: end, markedAt: time.Now()}
	if end != nil {
		a.mu.Lock()
		a.arriving[r] = struct{}{}
		a.mu.Unlock()
	}
	return r
}

// Grow raises a reservation to a total. It ends stalled bodies if there is not enough memory, and returns ErrExhausted if
// that does not suffice at once.
func (r *Reservation) Grow(ctx context.Context, total int64) error {
	more := total - r.total.Load()
	if more <= 0 {
		return nil
	}
	if r.reserve == 0 && r.account.shared.TryAcquire(more) {
		r.take(more, 0)
		return nil
	}
	if total <= SmallBytes && r.account.reserve.TryAcquire(more) {
		r.take(0, more)
		return nil
	}
	more = total - r.shared // a body that has outgrown the reserve gives its part back
	if more > r.account.size || !r.account.acquire(ctx, more, r) {
		return ErrExhausted
	}
	r.account.reserve.Release(r.reserve)
	r.take(more, -r.reserve)
	return nil
}

// take records an acquired part of a reservation.
func (r *Reservation) take(shared, reserve int64) {
	r.shared += shared
	r.reserve += reserve
	r.total.Add(shared + reserve)
	r.account.held.Add(shared + reserve)
}

// acquire takes shared memory, if necessary that of stalled bodies.
func (a *Account) acquire(ctx context.Context, n int64, by *Reservation) bool {
	if a.shared.TryAcquire(n) {
		return true
	}
	if !a.endStalled(n, by) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, freeTime)
	defer cancel()
	return a.shared.Acquire(ctx, n) == nil
}

// endStalled ends the bodies that have been stalled for longest, until they held n bytes. It reports whether it ended any.
func (a *Account) endStalled(n int64, except *Reservation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var stalled []*Reservation
	for r := range a.arriving {
		if r != except && r.total.Load() > 0 && now.Sub(r.markedAt) >= stallTime {
			stalled = append(stalled, r)
		}
	}
	slices.SortFunc(stalled, func(r, s *Reservation) int { return r.markedAt.Compare(s.markedAt) })
	ended := false
	for _, r := range stalled {
		if n <= 0 {
			break
		}
		n -= r.total.Load()
		delete(a.arriving, r)
		r.ended.Store(true)
		r.end()
		a.ended.Add(1)
		ended = true
	}
	return ended
}

// refusedTime is how long the client of a refused body has at least to read the refusal.
const refusedTime = 100 * time.Millisecond

// OpenRefused returns an empty reservation for the rest of a body that was refused and is read for its client's sake alone.
func (a *Account) OpenRefused(end func()) *Reservation {
	r := &Reservation{account: a, end: end, markedAt: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused[r] = struct{}{}
	return r
}

// EndStalled ends a body so that its connection is closed: the one that was refused first, or else the one that has been
// stalled for longest. It reports whether there was one.
func (a *Account) EndStalled() bool {
	return a.endRefused() || a.endStalled(1, nil)
}

func (a *Account) endRefused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var first *Reservation
	for r := range a.refused {
		if first == nil || r.markedAt.Before(first.markedAt) {
			first = r
		}
	}
	if first == nil || time.Since(first.markedAt) < refusedTime {
		return false
	}
	delete(a.refused, first)
	first.end()
	return true
}

// Received records that a part of the body has arrived.
func (r *Reservation) Received(bytes int) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.received += int64(bytes); r.received >= stallBytes {
		r.received, r.markedAt = 0, time.Now()
	}
}

// Arrived records that the body is whole or given up: it is not ended for others any more.
func (r *Reservation) Arrived() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	delete(r.account.arriving, r)
	delete(r.account.refused, r)
}

// Ended reports whether the account has ended the body.
func (r *Reservation) Ended() bool { return r.ended.Load() }

// Shrink lowers a reservation to a total.
func (r *Reservation) Shrink(total int64) {
	less := r.total.Load() - total
	if less <= 0 {
		return
	}
	shared := min(less, r.shared)
	r.account.shared.Release(shared)
	r.account.reserve.Release(less - shared)
	r.take(-shared, shared-less)
}

// Release gives all memory of a reservation back. It may be called again.
func (r *Reservation) Release() {
	r.Arrived()
	r.Shrink(0)
}

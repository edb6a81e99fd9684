package wharfmemory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	size    = 1 << 20
	reserve = 64 << 10
)

// resize changes a reservation and checks that it has the new total or, if there is no memory, the old one.
func resize(t *rapid.T, r *Reservation, total int64) {
	before := r.total.Load()
	if total <= before {
		r.Shrink(total)
	} else if r.Grow(context.Background(), total) != nil {
		total = before
	}
	if r.total.Load() != total {
		t.Fatalf("reservation has %d, want %d", r.total.Load(), total)
	}
}

// checkSum checks that the account holds what its reservations have, within its size.
func checkSum(t *rapid.T, a *Account, open []*Reservation) {
	sum := int64(0)
	for _, r := range open {
		sum += r.total.Load()
	}
	if sum != a.Held() || sum > size+reserve {
		t.Fatalf("reservations have %d, the account holds %d", sum, a.Held())
	}
}

// TestReservationsStayWithinTheAccount guards against memory that is counted twice, lost or granted beyond the account.
func TestReservationsStayWithinTheAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(size, reserve)
		open := make([]*Reservation, 8)
		for i := range open {
			open[i] = a.Open(func() {})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
			resize(t, r, rapid.Int64Range(0, size/3).Draw(t, "total")>>rapid.IntRange(0, 12).Draw(t, "scale"))
			checkSum(t, a, open)
		}
		for _, r := range open {
			r.Release()
			r.Release()
		}
		if err := a.Open(nil).Grow(context.Background(), size); err != nil || a.Held() != size {
			t.Fatalf("after all releases: %v, held %d", err, a.Held())
		}
	})
}

// TestSmallBodiesFindMemory guards against ordinary requests that are refused because large bodies hold all memory.
func TestSmallBodiesFindMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(size, reserve)
		large := a.Open(func() {})
		assert.NilError(t, large.Grow(t.Context(), size))
		for range reserve / SmallBytes {
			assert.NilError(t, a.Open(func() {}).Grow(t.Context(), SmallBytes))
		}
		assert.Assert(t, errors.Is(a.Open(func() {}).Grow(t.Context(), SmallBytes+1), ErrExhausted))
		assert.Assert(t, errors.Is(a.Open(func() {}).Grow(t.Context(), 1), ErrExhausted), "the reserve is in use too")
	})
}

// TestStalledBodiesGiveWay guards against bodies that stop short of their end and keep their memory from others.
func TestStalledBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(size, reserve)
		var stalled, moving *Reservation
		end := func(r **Reservation) func() { return func() { go (*r).Release() } }
		stalled = a.Open(end(&stalled))
		assert.NilError(t, stalled.Grow(t.Context(), size/2))
		moving = a.Open(end(&moving))
		assert.NilError(t, moving.Grow(t.Context(), size/2))
		assert.Assert(t, errors.Is(a.Open(func() {}).Grow(t.Context(), size/2), ErrExhausted), "nothing is stalled yet")
		for range 10 {
			time.Sleep(stallTime / 5)
			moving.Received(stallBytes)
			stalled.Received(1)
		}
		assert.NilError(t, a.Open(func() {}).Grow(t.Context(), size/2))
		assert.Assert(t, stalled.Ended() && !moving.Ended())
		assert.Equal(t, a.Ended(), int64(1))
		time.Sleep(time.Second)
		moving.Arrived()
		assert.Assert(t, errors.Is(moving.Grow(t.Context(), size), ErrExhausted) && !moving.Ended(), "a whole body is kept")
	})
}

// TestRefusedBodiesGiveWayFirst guards against clients that have been refused and keep the connections from others.
func TestRefusedBodiesGiveWayFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(size, reserve)
		stalled := a.Open(func() {})
		assert.NilError(t, stalled.Grow(t.Context(), 1))
		time.Sleep(time.Second)
		var ended []int
		for i := range 3 {
			r := a.OpenRefused(func() { ended = append(ended, i) })
			time.Sleep(refusedTime / 2)
			if i == 1 {
				r.Release()
			}
		}
		assert.Assert(t, a.EndStalled() && !stalled.Ended())
		assert.DeepEqual(t, ended, []int{0})
		assert.Assert(t, a.EndStalled() && stalled.Ended(), "the last one has had too little time")
		assert.Assert(t, !a.EndStalled())
		time.Sleep(refusedTime)
		assert.Assert(t, a.EndStalled())
		assert.DeepEqual(t, ended, []int{0, 2})
	})
}

package wharfgate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfpick"
)

type fixture struct {
	*Gate[*wharfpick.Endpoint]
	picker *wharfpick.Picker
}

func newGate(slots int) *fixture {
	picker := wharfpick.New("a", nil)
	picker.Update([]wharfconfig.Endpoint{{Name: "e", Service: "s", Zone: "a", URL: "http://e", Slots: slots}}, nil, 1)
	return &fixture{New[*wharfpick.Endpoint](), picker}
}

func (f *fixture) request(organisation string, maxWait time.Duration) Request[*wharfpick.Endpoint] {
	pick := func(now time.Time) (*wharfpick.Endpoint, error) {
		return f.picker.Pick(wharfpick.Request{Service: "s", Now: now})
	}
	return Request[*wharfpick.Endpoint]{Service: "s", Organisation: organisation, Weight: 1, MaxWait: maxWait, Pick: pick}
}

func TestQueuedOrganisationsAreServedFairly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		ctx := context.Background()
		var mu sync.Mutex
		served := map[string]int{}
		var work sync.WaitGroup
		for i := range 30 {
			organisation := "busy"
			if i%10 == 9 {
				organisation = fmt.Sprintf("quiet-%d", i/10)
			}
			work.Go(func() {
				e, _, err := g.Acquire(ctx, g.request(organisation, time.Minute))
				if err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
				mu.Lock()
				if len(served) < 4 {
					served[organisation]++
				}
				mu.Unlock()
				g.Release(e, "s")
			})
		}
		work.Wait()
		assert.Equal(t, len(served), 4, "the quiet organisations are among the first served: %v", served)
		assert.Assert(t, served["busy"] < 10, "%v", served)
	})
}

func TestRequestThatCannotStartInTimeIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		ctx := context.Background()
		var held []*wharfpick.Endpoint
		for {
			e, err := g.picker.Pick(wharfpick.Request{Service: "s", Now: time.Now()})
			if err != nil {
				break
			}
			held = append(held, e)
		}
		var waiters sync.WaitGroup
		for range 10 {
			waiters.Go(func() {
				_, _, err := g.Acquire(ctx, g.request("a", 100*time.Millisecond))
				assert.Check(t, errors.Is(err, ErrBusy))
			})
		}
		synctest.Wait()
		start := time.Now()
		_, wait, err := g.Acquire(ctx, g.request("a", 100*time.Millisecond))
		assert.Assert(t, errors.Is(err, ErrBusy))
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, wait >= time.Second)
		waiters.Wait()
		for _, e := range held {
			g.Release(e, "s")
		}
		_, _, err = g.Acquire(ctx, g.request("a", time.Second))
		assert.NilError(t, err)
	})
}

func TestCancelledWaiterIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		var held []*wharfpick.Endpoint
		for {
			e, err := g.picker.Pick(wharfpick.Request{Service: "s", Now: time.Now()})
			if err != nil {
				break
			}
			held = append(held, e)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var waiters sync.WaitGroup
		waiters.Go(func() {
			_, _, err := g.Acquire(ctx, g.request("cancelled", time.Second))
			assert.Check(t, errors.Is(err, context.Canceled))
		})
		synctest.Wait()
		waiters.Go(func() {
			_, _, err := g.Acquire(context.Background(), g.request("waiting", time.Second))
			assert.Check(t, err == nil)
		})
		synctest.Wait()
		cancel()
		synctest.Wait()
		g.Release(held[0], "s")
		waiters.Wait()
	})
}

func TestStreamsTakenUpGoFirstAndHoldUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		held, _, err := g.Acquire(t.Context(), g.request("o", time.Minute))
		assert.NilError(t, err)
		var order []string
		var work sync.WaitGroup
		wait := func(name string, r Request[*wharfpick.Endpoint], want error) {
			work.Go(func() {
				e, _, err := g.Acquire(t.Context(), r)
				assert.Check(t, errors.Is(err, want), "%s: %v", name, err)
				order = append(order, name)
				if err == nil {
					time.Sleep(10 * time.Millisecond)
					g.Release(e, "s")
				}
			})
			synctest.Wait()
		}
		wait("new", g.request("o", time.Minute), nil)
		unplaceable := g.request("o", time.Second)
		unplaceable.Continues = true
		unplaceable.Pick = func(time.Time) (*wharfpick.Endpoint, error) { return nil, wharfpick.ErrAllFull }
		wait("version full", unplaceable, ErrBusy)
		taken := g.request("o", time.Minute)
		taken.Continues = true
		wait("taken up", taken, nil)
		g.Release(held, "s")
		work.Wait()
		assert.DeepEqual(t, order, []string{"taken up", "new", "version full"})
		assert.Equal(t, g.Waiting(), 0)
	})
}

// TestClassesDoNotHoldEachOtherUp guards against requests that are limited to endpoints which are full, or away, and hold up
// requests that could use others.
func TestClassesDoNotHoldEachOtherUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		ctx := context.Background()
		limited := g.request("o", time.Minute)
		limited.Class = "full"
		limited.Pick = func(time.Time) (*wharfpick.Endpoint, error) { return nil, wharfpick.ErrAllFull }
		limitedCtx, cancel := context.WithCancel(ctx)
		done := make(chan error)
		go func() {
			_, _, err := g.Acquire(limitedCtx, limited)
			done <- err
		}()
		synctest.Wait()
		start := time.Now()
		e, _, err := g.Acquire(ctx, g.request("o", time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Duration(0))
		time.AfterFunc(10*time.Millisecond, func() { g.Release(e, "s") })
		e, _, err = g.Acquire(ctx, g.request("o", time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 10*time.Millisecond, "it was queued, behind none of the other class")
		g.Release(e, "s")
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		assert.Equal(t, g.Waiting(), 0)
	})
}

// TestQueueServesAtOnceAfterSlotsWereFew guards against a gate that goes on refusing requests which find no slot at once, because
// requests could rarely start while endpoints were away.
func TestQueueServesAtOnceAfterSlotsWereFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slotWait, hold = 66 * time.Millisecond, 10 * time.Millisecond
		g := newGate(1)
		ctx := context.Background()
		for range 30 { // a request that starts after 200 ms in the queue
			e, _, err := g.Acquire(ctx, g.request("o", time.Second))
			assert.NilError(t, err)
			time.AfterFunc(200*time.Millisecond, func() { g.Release(e, "s") })
			queued, _, err := g.Acquire(ctx, g.request("o", time.Second))
			assert.NilError(t, err)
			g.Release(queued, "s")
		}
		served := func() bool {
			e, _, err := g.Acquire(ctx, g.request("o", slotWait))
			assert.NilError(t, err, "the slot is free")
			time.AfterFunc(hold, func() { g.Release(e, "s") })
			queued, _, err := g.Acquire(ctx, g.request("o", slotWait))
			if err != nil {
				assert.ErrorIs(t, err, ErrBusy)
				time.Sleep(2 * hold)
				return false
			}
			g.Release(queued, "s")
			return true
		}
		assert.Assert(t, !served(), "requests would wait for long")
		g.ForgetIntervals()
		for range 5 {
			assert.Assert(t, served())
		}
	})
}

package wharfjobrunner

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfoutcome"
)

// failAfter returns a response of an endpoint that works on an item for a while and then fails, and counts the failures.
func failAfter(work time.Duration, failures *atomic.Int32) func(*Task, int) (Outcome, bool) {
	return func(*Task, int) (Outcome, bool) {
		time.Sleep(work)
		failures.Add(1)
		return Outcome{Outcome: wharfoutcome.Failed, Status: http.StatusInternalServerError, Err: errStopped}, true
	}
}

// TestFailuresOutliveTheirOwner guards against an item that is sent on and on because each owner is killed before it has seen as
// many failures as the route allows, as in review/10.
func TestFailuresOutliveTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		var failures atomic.Int32
		incarnation := uint64(1)
		for ; incarnation <= 4; incarnation++ {
			h := newTestHost(store, "a", incarnation, 2, func(h *testHost) {
				h.engine.respond = failAfter(2500*time.Millisecond, &failures)
			})
			if incarnation == 1 {
				submit(t, h, "job", 1)
			}
			time.Sleep(4 * time.Second) // one failure and part of another attempt
			seen := failures.Load()
			h.kill()
			failures.Store(seen) // the attempt under way is cut off
		}
		h := newTestHost(store, "a", incarnation, 2)
		time.Sleep(time.Second)
		assert.Equal(t, failures.Load(), int32(3), "the attempts that the route allows")
		assert.DeepEqual(t, output(t, h, "job"), map[string]string{"job-0": ""})
		h.kill()
	})
}

// TestFailuresOutliveAPlannedStop guards against failures that are not handed over with an item whose text is too long for that.
func TestFailuresOutliveAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		a := newTestHost(store, "a", 1, 2)
		a.engine.respond = func(_ *Task, run int) (Outcome, bool) {
			if run == 4 {
				return Outcome{}, false
			}
			time.Sleep(time.Second)
			if run == 1 {
				return Outcome{
					Outcome: wharfoutcome.ConnectionLost, Err: errStopped, Text: make([]byte, 64<<10), Events: 1, LastEvent: 1,
				}, true
			}
			return Outcome{Outcome: wharfoutcome.Failed, Err: errStopped}, true
		}
		submit(t, a, "job", 1)
		time.Sleep(3900 * time.Millisecond) // one lost connection, two failures, and a fourth attempt that runs
		a.runner.Close(t.Context())
		a.kill()
		var failures atomic.Int32
		b := newTestHost(store, "b", 1, 2, func(h *testHost) {
			h.engine.respond = failAfter(time.Second, &failures)
			h.hear(wharfgossip.Peer{Host: "a", Incarnation: 1, Presence: wharfgossip.Ended})
		})
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, output(t, b, "job"), map[string]string{"job-0": ""})
		assert.Equal(t, a.started(), 4)
		assert.Equal(t, b.started(), 1, "the third failure is the last")
		b.kill()
	})
}

// TestItemWaitsUntilItsFailureIsStored guards against failures that are lost because the item runs again before they are stored.
func TestItemWaitsUntilItsFailureIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		var failures atomic.Int32
		h := newTestHost(store, "a", 1, 2)
		h.engine.respond = failAfter(time.Second, &failures)
		submit(t, h, "job", 1)
		time.Sleep(500 * time.Millisecond)
		store.SetFault(func(string) error { return wharfrecords.ErrUnavailable })
		time.Sleep(4 * time.Second)
		assert.Equal(t, h.started(), 1)
		store.SetFault(nil)
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.started(), 3)
		assert.DeepEqual(t, output(t, h, "job"), map[string]string{"job-0": ""})
		h.kill()
	})
}

// TestItemRunsOnIfItsFailureCannotBeStored guards against an item that never runs again because the store rejects its job's row.
func TestItemRunsOnIfItsFailureCannotBeStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		var failures atomic.Int32
		h := newTestHost(store, "a", 1, 2)
		h.engine.respond = failAfter(time.Second, &failures)
		submit(t, h, "job", 1)
		time.Sleep(500 * time.Millisecond)
		store.SetFault(func(call string) error {
			if call == "commit" {
				return wharfrecords.ErrRejected
			}
			return nil
		})
		time.Sleep(2500 * time.Millisecond)
		store.SetFault(nil)
		time.Sleep(2 * time.Second)
		assert.Equal(t, h.started(), 3)
		assert.DeepEqual(t, output(t, h, "job"), map[string]string{"job-0": ""})
		h.kill()
	})
}

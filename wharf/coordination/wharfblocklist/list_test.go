package wharfblocklist

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcrash"
)

// TestVerdictsReachHostsThatOnlyTheStoreReaches: a host that is cut off from its peers, and one that starts later.
func TestVerdictsReachHostsThatOnlyTheStoreReaches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := wharfmemorystore.New()
		bad := wharfcrash.NewRequest("a", "/x", nil, []string{"bad"})
		verdict := wharfcrash.Verdict{Identity: bad.Parts[0], Crashes: 3, At: time.Now()}
		start := func() (*List, func() bool) {
			tracker := wharfcrash.New()
			l := New(store, tracker)
			go func() { _ = l.Serve(ctx) }()
			synctest.Wait()
			return l, func() bool {
				_, blocked := tracker.Blocked(bad, time.Now())
				return blocked
			}
		}
		writer, _ := start()
		_, cutOff := start()
		var down atomic.Bool
		down.Store(true)
		store.SetFault(func(string) error {
			if down.Load() {
				return wharfrecords.ErrUnavailable
			}
			return nil
		})
		writer.Publish(verdict, 0)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !cutOff(), "the store is down")
		down.Store(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, cutOff())
		late, startedLater := start()
		assert.Assert(t, startedLater(), "known before the first request")

		for _, withdraw := range []func(){
			func() { late.Withdraw(bad.Parts, true) },    // by a host that has read it and seen an answer
			func() { writer.Withdraw(bad.Parts, false) }, // by its writer, which has heard of the answer
		} {
			withdraw()
			time.Sleep(2 * time.Second)
			assert.Assert(t, !cutOff())
			writer.Publish(verdict, 0)
			time.Sleep(2 * time.Second)
			assert.Assert(t, cutOff())
		}
		late.Withdraw(bad.Parts, false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, cutOff(), "the verdict is another host's")
		writer.Withdraw(bad.Parts, false)
		time.Sleep(2 * time.Second)
		writer.Publish(wharfcrash.Verdict{Identity: bad.Parts[0], At: time.Now().Add(-time.Hour)}, time.Second)
		time.Sleep(4 * time.Second)
		page, err := store.Read(ctx, wharfrecords.Range{Table: table})
		assert.NilError(t, err)
		assert.Equal(t, len(page.Rows), 0, "the row of an old verdict is removed")
		cancel()
		synctest.Wait()
	})
}

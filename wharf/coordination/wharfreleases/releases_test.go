package wharfreleases

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharffleet"
)

const service = "s"

func endpoints(versions ...string) []wharffleet.Endpoint {
	var list []wharffleet.Endpoint
	for _, v := range versions {
		list = append(list, wharffleet.Endpoint{ID: "e-" + v, Service: service, Version: v})
	}
	return list
}

// run starts hosts that see the same store and ends them after the test's body.
func run(t *testing.T, hosts []string, body func(t *testing.T, store *wharfmemorystore.Store, r []*Releases)) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		ctx, cancel := context.WithCancel(t.Context())
		var served sync.WaitGroup
		var all []*Releases
		for _, host := range hosts {
			r := New(Options{Store: store, Host: host, Live: func() []string { return hosts }})
			all = append(all, r)
			served.Go(func() { _ = r.Serve(ctx) }) // returns when ctx is done
		}
		body(t, store, all)
		cancel()
		served.Wait()
	})
}

func admits(r *Releases, version string) bool {
	return r.Admits(&endpoints(version)[0], time.Now())
}

func TestStreamsBeginOnlyAtVersionsThatHaveSettled(t *testing.T) {
	run(t, []string{"a", "b", "c"}, func(t *testing.T, store *wharfmemorystore.Store, all []*Releases) {
		for _, r := range all {
			r.Update(endpoints("v1"))
		}
		assert.Assert(t, !admits(all[0], "v1"), "admitted without a row")
		time.Sleep(time.Second)
		for _, r := range all {
			assert.Assert(t, admits(r, "v1") && !r.Several(service))
			r.Update(endpoints("v1", "v2"))
			assert.Assert(t, r.Several(service))
		}
		time.Sleep(settleTime)
		only, err := all[1].Only(t.Context(), service)
		for _, r := range all {
			assert.Assert(t, !admits(r, "v2") || errors.Is(err, ErrNotKnown), "%s is the only version while v2 is admitted", only)
		}
		time.Sleep(time.Second)
		for _, r := range all {
			assert.Assert(t, admits(r, "v2"), "not admitted after it has settled")
			_, err := r.Only(t.Context(), service)
			assert.Assert(t, errors.Is(err, ErrNotKnown))
		}
		page, err := store.Read(t.Context(), wharfrecords.Range{Table: table})
		assert.NilError(t, err)
		assert.Equal(t, len(page.Rows), 2)
	})
}

func TestVersionThatHasGoneStaysPossibleForAWhile(t *testing.T) {
	run(t, []string{"a", "b"}, func(t *testing.T, _ *wharfmemorystore.Store, all []*Releases) {
		update := func(versions ...string) {
			for _, r := range all {
				r.Update(endpoints(versions...))
			}
		}
		update("v1", "v2")
		time.Sleep(5 * time.Second)
		update("v2")
		time.Sleep(lingerTime - time.Second)
		_, err := all[0].Only(t.Context(), service)
		assert.Assert(t, errors.Is(err, ErrNotKnown) && all[0].Several(service))
		time.Sleep(2*readInterval + time.Second)
		only, err := all[1].Only(t.Context(), service)
		assert.NilError(t, err)
		assert.Equal(t, only, "v2")
		assert.Assert(t, !all[0].Several(service) && !all[1].Several(service))
		update("v1", "v2")
		assert.Assert(t, !admits(all[0], "v1"), "a version that returns is admitted by its former row")
		time.Sleep(5 * time.Second)
		assert.Assert(t, admits(all[0], "v1"))
	})
}

func TestHostWithoutStoreAdmitsWhatPeersAdmit(t *testing.T) {
	run(t, []string{"a"}, func(t *testing.T, store *wharfmemorystore.Store, all []*Releases) {
		store.SetFault(func(string) error { return wharfrecords.ErrUnavailable })
		r := all[0]
		r.Update(endpoints("v1", "v2"))
		time.Sleep(5 * time.Second)
		assert.Assert(t, !admits(r, "v1"))
		_, err := r.Only(t.Context(), service)
		assert.Assert(t, errors.Is(err, ErrNotKnown))
		store.SetFault(nil)
		time.Sleep(5 * time.Second)
		assert.Assert(t, admits(r, "v1") && admits(r, "v2"))
		other := New(Options{Store: store})
		other.Merge(r.Admitted())
		assert.Assert(t, admits(other, "v1"))
	})
}

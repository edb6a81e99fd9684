package wharforigins

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/coordination/wharfreleases"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
)

var (
	route = &wharfroute.Route{Targets: []wharfroute.Target{{Service: "s", Weight: 1}}}
	split = &wharfroute.Route{Targets: []wharfroute.Target{{Service: "s", Weight: 1}, {Service: "other", Weight: 1}}}
)

// run starts a host whose service has endpoints of the given versions.
func run(t *testing.T, versions []string, body func(t *testing.T, store *wharfmemorystore.Store, o *Origins, counts map[string]int)) {
	synctest.Test(t, func(t *testing.T) {
		store, counts := wharfmemorystore.New(), map[string]int{}
		live := func() []string { return []string{"a"} }
		releases := wharfreleases.New(wharfreleases.Options{Store: store, Host: "a", Live: live})
		o := New(Options{Store: store, Releases: releases, Host: "a", Live: live, Count: func(name string) { counts[name]++ }})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = releases.Serve(ctx) }() // both return when ctx is done
		go func() { _ = o.Serve(ctx) }()
		var endpoints []wharffleet.Endpoint
		for _, v := range versions {
			endpoints = append(endpoints, wharffleet.Endpoint{Service: "s", Version: v})
		}
		releases.Update(endpoints)
		time.Sleep(5 * time.Second)
		body(t, store, o, counts)
		cancel()
		synctest.Wait()
	})
}

func TestOriginIsKnownOrRefused(t *testing.T) {
	unavailable := func(string) error { return wharfrecords.ErrUnavailable }
	for name, test := range map[string]struct {
		versions      []string
		route         *wharfroute.Route
		begun, stream string
		fault         func(string) error
		want          string
	}{
		"recorded":                 {versions: []string{"v1", "v2"}, route: route, begun: "x", stream: "x", want: "v2"},
		"not recorded":             {versions: []string{"v1", "v2"}, route: route, begun: "x", stream: "y"},
		"not named":                {versions: []string{"v1", "v2"}, route: route, begun: "x"},
		"name too long":            {versions: []string{"v1", "v2"}, route: route, stream: strings.Repeat("x", 300)},
		"store away":               {versions: []string{"v1", "v2"}, route: route, begun: "x", stream: "x", fault: unavailable},
		"only version":             {versions: []string{"v2"}, route: route, begun: "x", stream: "y", want: "v2"},
		"only version, not named":  {versions: []string{"v2"}, route: route, want: "v2"},
		"only version, store away": {versions: []string{"v2"}, route: route, begun: "x", stream: "x", fault: unavailable},
		"no version":               {route: route, stream: "x"},
		"one of two services":      {versions: []string{"v2"}, route: split, begun: "x", stream: "x", want: "v2"},
		"service not recorded":     {versions: []string{"v2"}, route: split, stream: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, test.versions, func(t *testing.T, store *wharfmemorystore.Store, o *Origins, _ map[string]int) {
				o.Record("o", test.begun, test.route, wharfcall.Origin{Service: "s", Version: "v2"})
				store.SetFault(test.fault)
				origin, err := o.Find(t.Context(), "o", test.stream, test.route)
				assert.Equal(t, errors.Is(err, wharfreleases.ErrNotKnown), test.want == "", "%v", err)
				if test.want != "" {
					assert.Equal(t, origin, wharfcall.Origin{Service: "s", Version: test.want})
				}
				_, err = o.lookUp(t.Context(), "another organisation", test.stream)
				assert.Assert(t, errors.Is(err, wharfreleases.ErrNotKnown))
			})
		})
	}
}

func TestSlowStoreHoldsEventsBackForAMoment(t *testing.T) {
	run(t, []string{"v1", "v2"}, func(t *testing.T, store *wharfmemorystore.Store, o *Origins, counts map[string]int) {
		store.SetFault(func(string) error { time.Sleep(300 * time.Millisecond); return nil })
		start := time.Now()
		o.Record("o", "x", route, wharfcall.Origin{Service: "s", Version: "v1"})
		assert.Equal(t, time.Since(start), recordWait)
		o.Record("o", "y", route, wharfcall.Origin{Service: "s", Version: "v1"})
		assert.Equal(t, time.Since(start), recordWait, "another event was held back at once")
		assert.Equal(t, counts["stream-records-late"], 1)
		time.Sleep(time.Second)
		store.SetFault(nil)
		for _, stream := range []string{"x", "y"} {
			_, err := o.Find(t.Context(), "o", stream, route)
			assert.NilError(t, err)
		}
	})
}

func TestOldRecordsAreRemoved(t *testing.T) {
	run(t, []string{"v1", "v2"}, func(t *testing.T, store *wharfmemorystore.Store, o *Origins, _ map[string]int) {
		for i := range 500 {
			o.Record("o", fmt.Sprint(i), route, wharfcall.Origin{Service: "s", Version: "v1"})
		}
		time.Sleep(retention / 2)
		assert.Equal(t, countRows(t, store), 500)
		time.Sleep(2*retention + 3*sweepInterval)
		assert.Equal(t, countRows(t, store), 0)
	})
}

func countRows(t *testing.T, store *wharfmemorystore.Store) int {
	total := 0
	for i := range partCount {
		page, err := wharfrecords.ReadAll(t.Context(), store, wharfrecords.Range{Table: table, Part: partName(i)})
		assert.NilError(t, err)
		total += len(page.Rows)
	}
	return total
}

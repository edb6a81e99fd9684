package wharfjobrunner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// configured is a test host whose configuration changes.
type configured struct {
	*testHost
	table atomic.Pointer[wharfroute.Table]
}

func newConfiguredHost(version uint64, routes ...wharfroute.Route) *configured {
	c := &configured{}
	c.configure(version, routes...)
	c.testHost = newTestHost(wharfmemorystore.New(), "a", 1, 2, func(h *testHost) { h.runner.options.Table = c.table.Load })
	return c
}

func (c *configured) configure(version uint64, routes ...wharfroute.Route) {
	c.table.Store(wharfroute.New(wharfroute.Configuration{Version: version, Routes: routes}))
}

// submitAt submits a job of 12 items for 8 slots, as accepted under a version of the configuration.
func (c *configured) submitAt(t *testing.T, version uint64) {
	t.Helper()
	s := wharfjobstore.Submission{
		ID: "job", Organisation: "org", Route: "r", PathPrefix: "/batch/", Host: "h", ConfigurationVersion: version,
	}
	for _, id := range itemIDs() {
		s.Items = append(s.Items, wharfcall.Item{ID: id, Path: "/batch/1", Tokens: 600})
	}
	assert.NilError(t, c.jobs.Submit(context.Background(), s))
}

func itemIDs() []string {
	return []string{"job-0", "job-1", "job-2", "job-3", "job-4", "job-5", "job-6", "job-7", "job-8", "job-9", "job-10", "job-11"}
}

func batchRoute(name string) wharfroute.Route {
	return wharfroute.Route{
		Name: name, Host: "h", PathPrefix: "/batch/", Kind: wharfroute.Batch, MaxAttempts: 3, CompletionTarget: 20 * time.Second,
		MaxWait: time.Minute, Targets: []wharfroute.Target{{Service: "s", Weight: 1}},
	}
}

// TestItemsOfReplacedRouteAreRun guards against a job that is never finished because another route has taken the place of its own,
// as in review/8.
func TestItemsOfReplacedRouteAreRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConfiguredHost(1, batchRoute("r"))
		c.submitAt(t, 1)
		time.Sleep(time.Second)
		c.configure(2, batchRoute("successor"))
		time.Sleep(10 * time.Second)
		assertComplete(t, c.testHost, "job", 12)
		c.kill()
	})
}

// TestItemsOfRemovedRouteAreGivenUp guards against a job that stays open for good because its route was removed. Items that run
// by then are completed.
func TestItemsOfRemovedRouteAreGivenUp(t *testing.T) {
	online := batchRoute("r")
	online.Kind = wharfroute.Streaming
	for name, routes := range map[string][]wharfroute.Route{"no route": nil, "no longer for jobs": {online}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newConfiguredHost(1, batchRoute("r"))
				c.submitAt(t, 1)
				time.Sleep(time.Second)
				c.configure(2, routes...)
				time.Sleep(time.Second)
				assert.Equal(t, len(output(t, c.testHost, "job")), 4, "the caller learns at once what is given up")
				time.Sleep(4 * time.Second)
				outputs := output(t, c.testHost, "job")
				assert.Equal(t, len(outputs), 12)
				completed := 0
				for id, text := range outputs {
					if text != "" {
						assert.Equal(t, text, completeOutput(id))
						completed++
					}
				}
				assert.Equal(t, completed, 8, "one for each slot")
				c.kill()
			})
		})
	}
}

// TestItemsWaitForTheVersionWithTheirRoute guards against items that are given up by a host whose configuration is older than their
// route.
func TestItemsWaitForTheVersionWithTheirRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConfiguredHost(6)
		c.submitAt(t, 7)
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(output(t, c.testHost, "job")), 0)
		c.configure(7, batchRoute("r"))
		time.Sleep(10 * time.Second)
		assertComplete(t, c.testHost, "job", 12)
		c.kill()
	})
}

// TestItemsOfRemovedRouteInOlderRowsAreGivenUp guards against a job of an older build, whose row does not name a version, that
// stays open for good.
func TestItemsOfRemovedRouteInOlderRowsAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConfiguredHost(6)
		c.submitAt(t, 0)
		time.Sleep(legacyRouteWait - 5*time.Second)
		assert.Equal(t, len(output(t, c.testHost, "job")), 0, "the host may be behind")
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(output(t, c.testHost, "job")), 12)
		c.kill()
	})
}

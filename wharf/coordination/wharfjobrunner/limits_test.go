package wharfjobrunner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/state/wharfevacuation"
	"wagtailwharf.example/wharf/state/wharfregion"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// limit returns a function that puts a host into a zone and limits its jobs to regions.
func limit(zone string, regions ...string) func(h *testHost) {
	return func(h *testHost) { h.limit(zone, regions) }
}

func (h *testHost) limit(zone string, regions []string) {
	route := *h.runner.options.Table().RouteByName("r")
	route.AllowedRegions = regions
	table := wharfroute.New(wharfroute.Configuration{Version: 2, Routes: []wharfroute.Route{route}})
	h.runner.options.Table = func() *wharfroute.Table { return table }
	h.runner.options.Zone, h.runner.options.Regions = zone, wharfregion.Map{"zone": "a", "zone-b": "b", "zone-c": "c"}
	h.fleet.SetRegions(h.runner.options.Regions)
}

// started returns the number of attempts that have started.
func (h *testHost) started() int {
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	return len(h.engine.starts)
}

// TestItemsAreNotStartedInAnEvacuatedZone guards against items that are started in an evacuated zone, and against an evacuation
// that stops those that run.
func TestItemsAreNotStartedInAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 1)
		submit(t, h, "job", 8)
		time.Sleep(time.Second)
		var none *wharfevacuation.Set
		evacuated := none.Replace(1, []wharfevacuation.Change{{Zone: "zone", Version: 1}})
		h.fleet.SetEvacuations(evacuated)
		time.Sleep(10 * time.Second)
		assert.Equal(t, h.started(), 4, "the slots of the endpoint")
		h.fleet.SetEvacuations(evacuated.Replace(2, nil))
		time.Sleep(10 * time.Second)
		assert.Equal(t, h.started(), 8, "no item was stopped")
		assertComplete(t, h, "job", 8)
		h.kill()
	})
}

// TestItemsStayInTheirRegions guards against items that run at an endpoint of another region.
func TestItemsStayInTheirRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 1, limit("zone", "b"))
		submit(t, h, "job", 4)
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.started(), 0)
		h.kill()
	})
}

// TestJobsAreAdoptedWithinTheirRegions guards against a host that adopts a job, and with it the bodies of its items, in a region
// that is neither allowed nor that of the host that accepted the job.
func TestJobsAreAdoptedWithinTheirRegions(t *testing.T) {
	for name, c := range map[string]struct {
		zone    string
		regions []string
		adopts  bool
	}{
		"no limit": {"zone-c", nil, true}, "allowed": {"zone-b", []string{"b"}, true},
		"not allowed": {"zone-c", []string{"a", "b"}, false}, "where it was accepted": {"zone", []string{"b"}, true},
		"unknown region": {"zone-d", []string{"a", "b"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := wharfmemorystore.New()
				a := newTestHost(store, "a", 1, 0)
				submit(t, a, "job", 4)
				time.Sleep(500 * time.Millisecond)
				a.kill()
				b := newTestHost(store, "b", 1, 0, limit(c.zone, c.regions...))
				b.hear(wharfgossip.Peer{Host: "a", Zone: "zone", Incarnation: 1, Presence: wharfgossip.Ended})
				time.Sleep(10 * time.Second)
				jobs := b.jobs.OpenJobs()
				assert.Equal(t, len(jobs), 1)
				assert.Equal(t, jobs[0].Owner == "b", c.adopts, "owner %s", jobs[0].Owner)
				assert.Equal(t, jobs[0].Region, "a")
				b.kill()
			})
		})
	}
}

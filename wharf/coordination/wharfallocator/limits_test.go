package wharfallocator

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/state/wharfevacuation"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfregion"
)

// evacuate lets hosts know of the evacuation of a zone.
func (z *zoneFleet) evacuate(zone string, hosts ...string) {
	var none *wharfevacuation.Set
	set := none.Replace(1, []wharfevacuation.Change{{Zone: zone, Version: 1}})
	for _, name := range hosts {
		z.hosts[name].fleet.SetEvacuations(set)
	}
}

// TestHostsOfAnEvacuatedZoneUseOthers guards against an allocator that grants slots of its own zone during its evacuation, or
// finds none elsewhere.
func TestHostsOfAnEvacuatedZoneUseOthers(t *testing.T) {
	z := newZoneFleet(t)
	z.evacuate("near", "h0", "h1", "h2", "h3", "f0")
	z.mustAcquire("h2", "far")
	z.mustAcquire("h0", "far")
	_, err := z.acquire("h3", 0)
	assert.Assert(t, err != nil, "the zone that is left is full")
}

// TestGrantOfAnEvacuatedEndpointIsNotUsed guards against a grant by allocators that do not know of an evacuation yet, or are of
// an older build.
func TestGrantOfAnEvacuatedEndpointIsNotUsed(t *testing.T) {
	z := newZoneFleet(t)
	z.evacuate("near", "h2")
	for range slots {
		z.mustAcquire("h2", "far")
	}
	z = newZoneFleet(t)
	z.evacuate("far", "h2")
	z.mustAcquire("h2", "near")
	z.mustAcquire("h2", "near")
	z.report("h2")
	_, err := z.acquire("h2", 0)
	assert.Assert(t, err != nil, "slots of the evacuated zone are granted, and not used")
}

// TestQueueOfAnEvacuatedZoneHoldsNobody guards against requests that are queued in an evacuated zone, behind others that wait there
// since before, and are refused although another zone has slots.
func TestQueueOfAnEvacuatedZoneHoldsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoneFleet(t)
		for range slots {
			z.mustAcquire("h2", "near")
			z.mustAcquire("f0", "far")
		}
		z.report("h2")
		z.report("f0")
		waiting := make(chan error)
		go func() {
			_, err := z.acquire("h0", 60*time.Millisecond)
			waiting <- err
		}()
		synctest.Wait()
		assert.Equal(t, z.hosts["h0"].gate.Waiting(), 1)
		z.evacuate("near", "h0", "h1", "h2", "h3", "f0")
		z.hosts["f0"].fleet.Forget("f0")
		time.AfterFunc(20*time.Millisecond, func() {
			z.hosts["f0"].fleet.Update([]wharffleet.Endpoint{
				{ID: "far", Service: "s", Zone: "far", Slots: 2 * slots, Address: netip.MustParseAddrPort("10.0.0.2:80")},
			})
			z.hosts["f0"].gate.Dispatch("s")
		})
		p, err := z.acquire("h3", 60*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint.ID, "far")
		assert.ErrorIs(t, <-waiting, wharfgate.ErrBusy)
	})
}

func (z *zoneFleet) acquireIn(name string, regions ...string) (*wharffleet.Placement, error) {
	return z.hosts[name].Acquire(context.Background(), Request{Service: "s", Organisation: "o", Weight: 1, Regions: regions})
}

// TestRequestsStayInTheirRegions guards against a request that is granted a slot in a region in which it may not run.
func TestRequestsStayInTheirRegions(t *testing.T) {
	z := newZoneFleet(t)
	for name, h := range z.hosts {
		if name != "f0" {
			h.fleet.SetRegions(wharfregion.Map{"near": "here", "far": "there"})
		}
	}
	z.hosts["f0"].fleet.SetRegions(wharfregion.Map{"far": "there"})
	for _, name := range []string{"h2", "h0"} {
		p, err := z.acquireIn(name, "there", "elsewhere")
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint.ID, "far")
	}
	_, err := z.acquireIn("h3", "there")
	assert.Assert(t, err != nil, "the region is full")
	for range slots {
		p, err := z.acquireIn("h3", "here")
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint.ID, "near")
	}
	_, err = z.acquireIn("h3", "elsewhere")
	assert.ErrorIs(t, err, wharfpick.ErrNoEndpoint)
	_, err = z.hosts["h3"].Acquire(context.Background(), Request{Service: "s", Regions: []string{}})
	assert.ErrorIs(t, err, wharfpick.ErrNoEndpoint, "no region is left, which must not become all on the way")
}

// TestRequestsOfAnEvacuatedZoneWaitInTheQueueElsewhere guards against requests of an evacuated zone that find no slot because each
// that becomes free goes to the queue of its own zone.
func TestRequestsOfAnEvacuatedZoneWaitInTheQueueElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoneFleet(t)
		z.evacuate("near", "h0", "h1", "h2", "h3", "f0")
		held := []*wharffleet.Placement{z.mustAcquire("f0", "far"), z.mustAcquire("f0", "far")}
		for _, name := range []string{"h2", "h0"} {
			time.AfterFunc(20*time.Millisecond, func() { z.hosts["f0"].gate.Release(held[0], "s") })
			start := time.Now()
			p, err := z.acquire(name, 60*time.Millisecond)
			assert.NilError(t, err, name)
			assert.Equal(t, time.Since(start), 20*time.Millisecond)
			held[0] = p
			z.hosts["f0"].fleet.ReplaceLoads(name, z.hosts[name].fleet.Loads())
			start = time.Now()
			_, err = z.acquire(name, 60*time.Millisecond)
			assert.ErrorIs(t, err, wharfgate.ErrBusy)
			assert.Equal(t, time.Since(start), 60*time.Millisecond)
			z.hosts["f0"].fleet.Forget(name)
			held[0] = z.mustAcquire("f0", "far")
		}
	})
}

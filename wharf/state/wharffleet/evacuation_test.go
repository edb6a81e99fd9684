package wharffleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfevacuation"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfpick"
)

// evacuation returns a set of evacuated zones.
func evacuation(zones ...string) *wharfevacuation.Set {
	var set *wharfevacuation.Set
	var rows []wharfevacuation.Change
	for _, zone := range zones {
		rows = append(rows, wharfevacuation.Change{Zone: zone, Version: 1})
	}
	return set.Replace(1, rows)
}

// TestEvacuatedEndpointsGetNoRequests guards against each way in which a request could be placed in an evacuated zone, and
// against an evacuation that goes on after its end.
func TestEvacuatedEndpointsGetNoRequests(t *testing.T) {
	f := newFleet("near", "far", "near", "far")
	f.SetEvacuations(evacuation("near"))
	for range 50 {
		for _, r := range []Request{{}, {Batch: true}, {LastAttempt: true}, {Requester: &Requester{Host: "other"}}} {
			r.Service = "s"
			p, err := f.Pick(r)
			assert.NilError(t, err)
			assert.Equal(t, p.Endpoint.Zone, "far")
			if r.Requester == nil {
				p.Release()
			}
		}
		f.Forget("other")
	}
	_, err := f.Pick(Request{Service: "s", NearOnly: true})
	assert.ErrorIs(t, err, wharfpick.ErrNoEndpoint)
	_, known := f.Adopt("e0", Request{}, false)
	assert.Assert(t, !known, "a grant that was under way is not used")
	assert.Equal(t, f.FreeSlots("s"), 2*slots)
	assert.DeepEqual(t, f.Requester("s").Unavailable, []string{"e2", "e0"})
	f.SetEvacuations(evacuation("far"))
	assert.Equal(t, len(f.FreeSlotsElsewhere("s", true, nil)), 0)
	f.SetEvacuations(evacuation("near", "far"))
	_, err = f.Pick(Request{Service: "s"})
	assert.ErrorIs(t, err, wharfpick.ErrNoEndpoint)
	assert.Assert(t, !f.Serves(wharfcall.Origin{Service: "s"}))
	f.SetEvacuations(evacuation())
	assert.Assert(t, f.Serves(wharfcall.Origin{Service: "s"}))
	assert.Equal(t, f.FreeSlots("s"), 4*slots)
}

// TestRequestsOnTheirWayAreNotSent guards against a request that was placed before an evacuation and is sent after its start,
// and against one that is sent by a host which does not know whether an evacuation has started.
func TestRequestsOnTheirWayAreNotSent(t *testing.T) {
	f := newFleet("near")
	current := true
	f.RequireCurrent(func() bool { return current })
	p := pick(t, f, false)
	assert.Assert(t, p.MaySend())
	current = false
	assert.Assert(t, !p.MaySend())
	current = true
	f.SetEvacuations(evacuation("near"))
	assert.Assert(t, !p.MaySend())
	f.SetEvacuations(evacuation("far"))
	assert.Assert(t, p.MaySend())
}

// TestEvacuationIsNamedAsCause guards against refusals that are not counted as caused by an evacuation, or wrongly.
func TestEvacuationIsNamedAsCause(t *testing.T) {
	f := newFleet("near", "far")
	origin := wharfcall.Origin{Service: "s"}
	assert.Assert(t, !f.Evacuates(origin))
	f.SetEvacuations(evacuation("elsewhere"))
	assert.Assert(t, !f.Evacuates(origin))
	f.SetEvacuations(evacuation("far"))
	assert.Assert(t, f.Evacuates(origin))
	assert.Assert(t, !f.Evacuates(wharfcall.Origin{Service: "other"}))
	assert.Assert(t, !f.Evacuates(wharfcall.Origin{Service: "s", Version: "v2"}))
}

// TestOldEjectionsEndWithTheEvacuation guards against endpoints that return with their zone and get one request a second,
// because of faults before the evacuation that no request could refute meanwhile.
func TestOldEjectionsEndWithTheEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near", "far")
		fail := func(id string) {
			for range faultsToEject {
				p, known := f.Adopt(id, Request{}, false)
				assert.Assert(t, known)
				p.Fail(wharfoutcome.ConnectionLost)
				p.Release()
			}
		}
		fail("e0")
		fail("e1")
		assert.Equal(t, f.FreeSlots("s"), 0)
		f.SetEvacuations(evacuation("near"))
		f.SetEvacuations(evacuation())
		assert.Equal(t, f.FreeSlots("s"), 0, "the ejections have not ended")
		f.SetEvacuations(evacuation("near"))
		time.Sleep(maxBackoff)
		f.SetEvacuations(evacuation())
		for range slots {
			_, err := f.Pick(Request{Service: "s", NearOnly: true})
			assert.NilError(t, err)
		}
		f.SetEvacuations(evacuation("near"))
		pick(t, f, false)
		_, err := f.Pick(Request{Service: "s"})
		assert.ErrorIs(t, err, wharfpick.ErrNoEndpoint, "one request probes the endpoint whose zone was not evacuated")
		f.SetEvacuations(evacuation())
		unreachable, _ := f.Adopt("e0", Request{}, false)
		unreachable.Fail(wharfoutcome.NotSent)
		f.SetEvacuations(evacuation("near"))
		time.Sleep(maxBackoff)
		f.SetEvacuations(evacuation())
		assert.Equal(t, len(f.Unreachable()), 1, "an endpoint that can't be reached is left to the prober")
	})
}

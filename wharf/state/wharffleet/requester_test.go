package wharffleet

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfpick"
)

// TestSlotPlacedForAnotherHostCountsUntilItReports checks that an allocator's slot is counted once: at first by the
// allocator, then by the host that uses it, also if the answer is lost.
func TestSlotPlacedForAnotherHostCountsUntilItReports(t *testing.T) {
	f := newFleet("near")
	for range slots {
		p, err := f.Pick(Request{Service: "s", Requester: &Requester{Host: "other"}})
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint.ID, "e0")
		p.Release() // the requester's host releases it
	}
	_, err := f.Pick(Request{Service: "s"})
	assert.ErrorIs(t, err, wharfpick.ErrAllFull)
	assert.Equal(t, len(f.Changes()), 0, "it is not this host's load")
	f.ApplyChanges("other", []Load{{Endpoint: "e0", Online: slots}})
	assert.Equal(t, f.entries["e0"].online, slots)
	f.ReplaceLoads("other", []Load{{Endpoint: "e0", Online: slots - 1}})
	pick(t, f, false)
	f.Forget("other")
	assert.Equal(t, f.entries["e0"].online, 1)
}

func TestRequestersOwnKnowledgeOfEndpointsIsUsed(t *testing.T) {
	f := newFleet("near", "near", "near")
	for range 20 {
		p, err := f.Pick(Request{Service: "s", Requester: &Requester{
			Host: "other", Unavailable: []string{"e0", "e1"},
		}})
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint.ID, "e2")
		f.Forget("other")
	}
	_, err := f.Pick(Request{Service: "s", Requester: &Requester{Unavailable: []string{"e0", "e1", "e2"}}})
	assert.ErrorIs(t, err, wharfpick.ErrNoEndpoint)
}

// TestHostsShareStalls guards against requests of one host after the other that wait at an endpoint which holds more
// than is known, such as runs of hosts that have lost power.
func TestHostsShareStalls(t *testing.T) {
	f := newFleet("near", "near")
	f.ApplyChanges("other", []Load{{Endpoint: "e0", Online: 1, Stalled: 1}})
	for range slots {
		p, err := f.Pick(Request{Service: "s", Requester: &Requester{Host: "third"}, FreeOnly: true})
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint.ID, "e1")
	}
	_, err := f.Pick(Request{Service: "s", FreeOnly: true})
	assert.ErrorIs(t, err, wharfpick.ErrAllFull)
	f.ApplyChanges("other", []Load{{Endpoint: "e0", Online: 1}})
	p := pick(t, f, false)
	assert.Equal(t, p.Endpoint.ID, "e0")
	f.Changes()
	p.SetStalled(true)
	assert.Equal(t, f.Changes()[0].Stalled, 1, "this host tells others")
	p.Release()
	assert.Equal(t, f.Changes()[0].Stalled, 0)
	f.ReplaceLoads("other", []Load{{Endpoint: "e0", Online: 1, Stalled: 1}})
	f.Forget("other")
	assert.Equal(t, f.entries["e0"].stalled, 0)
}

func TestRequesterDescribesThisHost(t *testing.T) {
	f := newFleet("near", "near", "near", "far")
	f.PreferConnected(func(a netip.AddrPort) bool { return a == f.entries["e1"].Address })
	placements := map[string]*Placement{}
	for placements["e0"] == nil || placements["e2"] == nil {
		p := pick(t, f, false)
		placements[p.Endpoint.ID] = p
	}
	placements["e0"].Fail(wharfoutcome.NotSent)
	r := f.Requester("s")
	assert.DeepEqual(t, r, &Requester{
		Host: "self", Connected: []string{"e1"}, Unavailable: []string{"e0"},
	})
	assert.DeepEqual(t, f.Requester("unknown"), &Requester{Host: "self"})
}

// TestAdoptRefusesEndpointsThatLeave guards against an allocator that has not yet read that an endpoint leaves.
func TestAdoptRefusesEndpointsThatLeave(t *testing.T) {
	f := newFleet("near", "near")
	list := endpoints("near", "near")
	list[1].Leaving = true
	f.Update(list)
	p, known := f.Adopt("e0", Request{}, false)
	assert.Assert(t, known)
	assert.Equal(t, len(f.Loads()), 1)
	p.Release()
	assert.Equal(t, len(f.Loads()), 0)
	for _, id := range []string{"e1", "gone"} {
		_, known = f.Adopt(id, Request{}, false)
		assert.Assert(t, !known, id)
	}
}

func TestScopesLimitThePick(t *testing.T) {
	f := newFleet("near", "far")
	for range slots {
		_, err := f.Pick(Request{Service: "s", Batch: true, NearOnly: true})
		assert.NilError(t, err)
	}
	_, err := f.Pick(Request{Service: "s", NearOnly: true, FreeOnly: true})
	assert.ErrorIs(t, err, wharfpick.ErrAllFull)
	assert.DeepEqual(t, f.FreeSlotsElsewhere("s", false, nil), map[string]int{"far": slots})
	f.ReplaceLoads("other", []Load{{Endpoint: "e1", Online: 1, Batch: slots - 1}})
	assert.Equal(t, len(f.FreeSlotsElsewhere("s", false, nil)), 0)
	assert.DeepEqual(t, f.FreeSlotsElsewhere("s", true, nil), map[string]int{"far": slots - 1})
	p, err := f.Pick(Request{Service: "s", NearOnly: true})
	assert.NilError(t, err)
	assert.Assert(t, p.NeedsPreemption)
}

func TestZoneLoadsLeaveOutTheReceiversHosts(t *testing.T) {
	f := newFleet("near", "near", "far")
	f.ReplaceLoads("here", []Load{{Endpoint: "e0", Online: 1, Batch: 2}})
	f.ReplaceLoads("there", []Load{{Endpoint: "e0", Online: 3}, {Endpoint: "e1", Online: 1}, {Endpoint: "e2", Online: 1}})
	all := f.ZoneLoads(func(string) bool { return false })
	assert.Equal(t, len(all), 2, "the far endpoint is not of this zone")
	without := f.ZoneLoads(func(host string) bool { return host == "there" })
	assert.DeepEqual(t, without, []Load{{Endpoint: "e0", Online: 1, Batch: 2}})
}

// TestProbeOfAnotherHostEndsWithoutItsOutcome guards against an endpoint that stays unused because the host that probes
// it never reports what came of it.
func TestProbeOfAnotherHostEndsWithoutItsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		p := pick(t, f, false)
		p.Fail(wharfoutcome.WrongEndpoint)
		p.Release()
		time.Sleep(firstBackoff + time.Millisecond)
		remote := Request{Service: "s", Requester: &Requester{Host: "other"}}
		_, err := f.Pick(remote)
		assert.NilError(t, err)
		_, err = f.Pick(remote)
		assert.ErrorIs(t, err, wharfpick.ErrNoEndpoint, "one request at a time probes")
		time.Sleep(maxProbeTime)
		_, err = f.Pick(remote)
		assert.NilError(t, err)
	})
}

// TestOnlyTheProbingRequestEndsTheProbe guards against several requests that probe an endpoint at once because an older
// request to it ends.
func TestOnlyTheProbingRequestEndsTheProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		failed, running := pick(t, f, false), pick(t, f, false)
		failed.Fail(wharfoutcome.WrongEndpoint)
		time.Sleep(firstBackoff + time.Millisecond)
		probe := pick(t, f, false)
		running.Release()
		_, err := f.Pick(Request{Service: "s"})
		assert.ErrorIs(t, err, wharfpick.ErrNoEndpoint)
		probe.Succeed()
		pick(t, f, false)
	})
}

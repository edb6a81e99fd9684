package wharffleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfpick"
)

// TestItemsOfSilentHostsHoldTheirSlots guards against online requests that are placed on the slots of batch items which their
// host, cut off from this one, does not stop.
func TestItemsOfSilentHostsHoldTheirSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near", "far")
		f.ReplaceLoads("peer", []Load{{Endpoint: "e0", Batch: slots}, {Endpoint: "e1", Batch: slots - 1}})
		assertPreempts := func(id string, elsewhere int) {
			t.Helper()
			p, err := f.Pick(Request{Service: "s", NearOnly: true})
			assert.NilError(t, err)
			assert.Assert(t, p.NeedsPreemption)
			p.Release()
			host, found := f.YieldingHost(id)
			assert.Assert(t, found && host == "peer", "%s", host)
			assert.Equal(t, f.FreeSlotsElsewhere("s", true)["far"], elsewhere)
		}
		assertPreempts("e0", slots)

		time.Sleep(2 * time.Second)
		_, err := f.Pick(Request{Service: "s", NearOnly: true})
		assert.ErrorIs(t, err, wharfpick.ErrAllFull)
		_, found := f.YieldingHost("e0")
		assert.Assert(t, !found)
		assert.Equal(t, f.FreeSlotsElsewhere("s", true)["far"], 1)
		f.Update(append(endpoints("near", "far"), Endpoint{ID: "e2", Service: "s", Zone: "near", Slots: slots}))
		f.ApplyChanges("other", []Load{{Endpoint: "e2", Online: slots}})
		_, err = f.Pick(Request{Service: "s", NearOnly: true})
		assert.ErrorIs(t, err, wharfpick.ErrAllFull)

		f.ApplyChanges("peer", []Load{{Endpoint: "e1", Batch: 2}})
		assertPreempts("e0", slots)
		f.ApplyChanges("peer", []Load{{Endpoint: "e0"}})
		assert.Assert(t, !pick(t, f, false).NeedsPreemption)
	})
}

// TestOwnItemsYieldInPlaceOfThoseOfSilentHosts guards against an endpoint that stays overcommitted because the host with the
// most items there is to stop one and can't be told.
func TestOwnItemsYieldInPlaceOfThoseOfSilentHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		pick(t, f, true)
		f.ReplaceLoads("peer", []Load{{Endpoint: "e0", Batch: slots - 1}})
		time.Sleep(2 * time.Second)
		f.ReplaceLoads("other", []Load{{Endpoint: "e0", Online: 1}})
		assert.Equal(t, len(f.Overcommitted()), 0)
		time.Sleep(overcommitGrace)
		assert.DeepEqual(t, f.Overcommitted(), []string{"e0"})
	})
}

package wharffleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestItemsOfSilentHostsHoldTheirSlots guards against online requests that are placed on the slots of batch items which their
// host, cut off from this one, does not stop.
func TestItemsOfSilentHostsHoldTheirSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near", "far")
		assertStoppable := func(want bool, elsewhere int) {
			t.Helper()
			p, err := f.Pick(Request{Service: "s", NearOnly: true})
			assert.Equal(t, err == nil && p.NeedsPreemption, want, "%v", err)
			if err == nil {
				p.Release()
			}
			host, _ := f.YieldingHost("e0")
			assert.Equal(t, host == "peer", want)
			assert.Equal(t, f.FreeSlotsElsewhere("s", true, nil)["far"], elsewhere)
		}
		f.ReplaceLoads("peer", []Load{{Endpoint: "e0", Batch: slots}, {Endpoint: "e1", Batch: slots - 1}})
		assertStoppable(true, slots)
		time.Sleep(2 * time.Second)
		assertStoppable(false, 1)
		f.Update(nil)
		f.Update(endpoints("near", "far"))
		assertStoppable(false, 1)
		f.ApplyChanges("peer", []Load{{Endpoint: "e1", Batch: 2}})
		assertStoppable(true, slots)
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

package wharffleet

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfpick"
)

const slots = 8

func endpoints(zones ...string) []Endpoint {
	var list []Endpoint
	for i, zone := range zones {
		list = append(list, Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "s", Zone: zone, Slots: slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return list
}

func newFleet(zones ...string) *Fleet {
	f := New("me", "near", func() {})
	f.Update(endpoints(zones...))
	return f
}

func pick(t *testing.T, f *Fleet, batch bool) *Placement {
	t.Helper()
	p, err := f.Pick(Request{Service: "s", Batch: batch})
	assert.NilError(t, err)
	return p
}

func TestOnlineTakesAllSlotsAndBatchOnlyFreeOnes(t *testing.T) {
	f := newFleet("near", "near")
	for range slots {
		pick(t, f, true)
	}
	for range slots {
		assert.Assert(t, !pick(t, f, false).NeedsPreemption, "there were free slots")
	}
	for range slots {
		assert.Assert(t, pick(t, f, false).NeedsPreemption, "a batch item has to leave")
	}
	_, err := f.Pick(Request{Service: "s"})
	assert.Assert(t, errors.Is(err, wharfpick.ErrAllFull))
	_, err = f.Pick(Request{Service: "s", Batch: true})
	assert.Assert(t, errors.Is(err, wharfpick.ErrAllFull))
	_, err = f.Pick(Request{Service: "other"})
	assert.Assert(t, errors.Is(err, wharfpick.ErrNoEndpoint))
}

func TestBatchLeavesItsReserve(t *testing.T) {
	f := newFleet("near")
	count := 0
	for {
		if _, err := f.Pick(Request{Service: "s", Batch: true, Reserve: 2}); err != nil {
			break
		}
		count++
	}
	assert.Equal(t, count, slots-2)
}

func TestBatchLeavesASlotWhereOnlineRequestsComeOften(t *testing.T) {
	for online, want := range map[int]int{0: slots, 1: slots - 1, 2: slots - 3, 4: slots - 5} {
		f := newFleet("near")
		f.ReplaceLoads("other", []Load{{Endpoint: "e0", Online: online}})
		count := 0
		for {
			if _, err := f.Pick(Request{Service: "s", Batch: true}); err != nil {
				break
			}
			count++
		}
		assert.Equal(t, count, want, "beside %d online requests", online)
	}
}

func TestLeavingAvoidedAndGoneEndpointsGetNothing(t *testing.T) {
	f := newFleet("near", "near", "near")
	list := endpoints("near", "near", "near")
	list[0].Leaving = true
	f.Update(list[:2])
	for range slots {
		p, err := f.Pick(Request{Service: "s"})
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint.ID, "e1")
	}
	_, err := f.Pick(Request{Service: "s", Avoid: map[string]bool{"e1": true}})
	assert.Assert(t, errors.Is(err, wharfpick.ErrNoEndpoint))
}

func TestNewIncarnationUnderAnOldIDStartsEmpty(t *testing.T) {
	f := newFleet("near")
	old := pick(t, f, false)
	list := endpoints("near")
	list[0].Born = time.Unix(100, 0)
	f.Update(list)
	assert.Equal(t, len(f.Loads()), 0)
	old.Release()
	assert.Equal(t, len(f.Loads()), 0, "the end of a request on the old one counts nothing on the new one")
}

func TestFaultsKeepRequestsAwayAndATrialBringsThemBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		p := pick(t, f, false)
		assert.Equal(t, p.Fail(wharfoutcome.NotSent), firstBackoff)
		p.Release()
		_, err := f.Pick(Request{Service: "s"})
		assert.Assert(t, errors.Is(err, wharfpick.ErrNoEndpoint))
		time.Sleep(firstBackoff)
		trial := pick(t, f, false)
		_, err = f.Pick(Request{Service: "s"})
		assert.Assert(t, errors.Is(err, wharfpick.ErrNoEndpoint), "one trial at a time")
		trial.Succeed()
		pick(t, f, false)
	})
}

func TestFaultsInARowThatWorkingEndpointsShowToo(t *testing.T) {
	f := newFleet("near")
	for range faultsToEject - 1 {
		p := pick(t, f, false)
		assert.Equal(t, p.Fail(wharfoutcome.TimedOut), time.Duration(0))
		p.Release()
	}
	p := pick(t, f, false)
	assert.Equal(t, p.Fail(wharfoutcome.TimedOut), firstBackoff)
}

func TestSilentEndpointGetsFewRequests(t *testing.T) {
	f := newFleet("near", "near", "near", "near")
	first := pick(t, f, false)
	first.SetStalled(true)
	counts := map[string]int{}
	for range 3 * slots {
		counts[pick(t, f, false).Endpoint.ID]++
	}
	assert.Equal(t, counts[first.Endpoint.ID], 0, "others had free slots")
	pick(t, f, false) // the silent one, when nothing else has room
	first.SetStalled(false)
	first.SetStalled(false)
	assert.Equal(t, f.entries[first.Endpoint.ID].silent, 0)
}

// TestHostsWithOldViewsSpreadTheirRequests plays a burst: ten hosts place requests without hearing of each other's,
// while one endpoint looks emptier than the rest.
func TestHostsWithOldViewsSpreadTheirRequests(t *testing.T) {
	const hosts, endpointCount, burst = 10, 18, 15
	zones := make([]string, endpointCount)
	for i := range zones {
		zones[i] = "near"
	}
	worst := 0
	for range 50 {
		placed := map[string]int{}
		for host := range hosts {
			f := newFleet(zones...)
			for i := range endpointCount {
				busy := 5
				if i == 0 {
					busy = 3
				}
				f.ReplaceLoads("others", nil)
				f.ApplyChanges(fmt.Sprintf("other-%d", i), []Load{{Endpoint: fmt.Sprintf("e%d", i), Online: busy}})
			}
			for range burst/hosts + host%2 {
				placed[pick(t, f, false).Endpoint.ID]++
			}
		}
		worst = max(worst, placed["e0"])
	}
	assert.Assert(t, worst <= slots-3+3, "%d of %d requests at the endpoint with %d free slots", worst, burst, slots-3)
}

// viewOf returns what a host sees of one endpoint at which several hosts run batch items.
func viewOf(t *testing.T, host string, batch map[string]int) *Fleet {
	t.Helper()
	f := New(host, "near", func() {})
	f.Update(endpoints("near"))
	for range batch[host] {
		pick(t, f, true)
	}
	for other, count := range batch {
		if other != host {
			f.ReplaceLoads(other, []Load{{Endpoint: "e0", Batch: count}})
		}
	}
	return f
}

func TestOneHostIsAskedToYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		batch := map[string]int{"a": 2, "b": 3, "c": 3}
		views := []*Fleet{viewOf(t, "a", batch), viewOf(t, "b", batch), viewOf(t, "c", batch)}
		for _, f := range views {
			f.ReplaceLoads("online", []Load{{Endpoint: "e0", Online: 1}})
			assert.Equal(t, len(f.Overcommitted()), 0, "not before a request to stop can have come")
		}
		time.Sleep(overfullAfter)
		asked := 0
		for _, f := range views {
			asked += len(f.Overcommitted())
		}
		assert.Equal(t, asked, 1)
		host, found := views[0].YieldingHost("e0")
		assert.Assert(t, found)
		assert.Equal(t, host, "a", "an own item is stopped without a message")
	})
}

func TestReportsOfEndpointsThatAreNotKnownYetCount(t *testing.T) {
	f := New("me", "near", func() {})
	f.ReplaceLoads("other", []Load{{Endpoint: "e0", Online: 5}})
	f.Update(endpoints("near"))
	assert.Equal(t, f.FreeSlots("s"), slots-5)
	f.Forget("other")
	assert.Equal(t, f.FreeSlots("s"), slots)
}

func TestFarEndpointsAreChosenLessOften(t *testing.T) {
	near := 0
	for range 200 {
		f := newFleet("near", "far")
		if pick(t, f, false).Endpoint.Zone == "near" {
			near++
		}
	}
	assert.Assert(t, near > 120 && near < 190, "%d of 200", near)
}

func TestEndpointsWithAnOpenConnectionAreChosenMoreOften(t *testing.T) {
	f := New("self", "near", func() {})
	f.Update(endpoints("near", "near"))
	warm := f.entries["e1"].Address
	f.PreferConnected(func(address netip.AddrPort) bool { return address == warm })
	chosen := map[string]int{}
	for range 3000 {
		p := pick(t, f, false)
		chosen[p.Endpoint.ID]++
		p.Release()
	}
	assert.Assert(t, chosen["e1"] > 1800 && chosen["e1"] < 2200, "two of three go to the one with a connection: %v", chosen)
	f.ReplaceLoads("other", []Load{{Endpoint: "e1", Online: slots}})
	assert.Equal(t, pick(t, f, false).Endpoint.ID, "e0", "a free slot goes before an open connection")
}

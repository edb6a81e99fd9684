package wharffleet

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wagtailwharf.example/wharf/state/wharfcold"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfpick"
)

const coldLimit = 8.3

// settled is longer than a host that has just started waits.
const settled = 2 * time.Second

// limitCold makes a fleet, the only host of its zone, observe the limit of cold endpoints.
func limitCold(f *Fleet) {
	f.LimitCold(map[string]float64{"s": coldLimit})
	f.SetSenders(map[string][]string{"near": {"self"}})
	time.Sleep(settled)
}

// setCold updates a fleet's endpoints, of which those with the given IDs are cold.
func setCold(f *Fleet, list []Endpoint, remaining time.Duration, ids ...string) {
	for i := range list {
		list[i].ColdUntil = time.Time{}
		for _, id := range ids {
			if list[i].ID == id {
				list[i].ColdUntil = time.Now().Add(remaining)
			}
		}
	}
	f.Update(list)
}

// burst picks and releases until there is an error, and returns the number of placements at an endpoint and the error.
func burst(f *Fleet, id string) (count int, err error) {
	for range 200 {
		p, err := f.Pick(Request{Service: "s"})
		if err != nil {
			return count, err
		}
		if p.Endpoint.ID == id {
			count++
		}
		p.Release()
	}
	return count, nil
}

// TestColdEndpointGetsItsLimit guards against requests beyond the limit, and against waiting for a slot when all
// endpoints are cold.
func TestColdEndpointGetsItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		limitCold(f)
		setCold(f, endpoints("near"), time.Minute, "e0")
		count, err := burst(f, "e0")
		assert.Equal(t, count, 8)
		assert.Assert(t, errors.Is(err, wharfpick.ErrAllCold), "%v", err)
		list := endpoints("near")
		list[0].Version = "v1"
		setCold(f, list, time.Minute, "e0")
		_, err = f.Pick(Request{Service: "s", Version: "v1"})
		assert.Assert(t, errors.Is(err, wharfpick.ErrAllFull), "a stream that continues waits: %v", err)
		time.Sleep(time.Second - time.Millisecond)
		count, _ = burst(f, "e0")
		assert.Equal(t, count, 0)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.FreeSlots("s"), 8)
		count, _ = burst(f, "e0")
		assert.Equal(t, count, 8)
		assert.Equal(t, f.FreeSlots("s"), 0)
		assert.Assert(t, f.RampUp("s") > 50*time.Second)
		time.Sleep(time.Minute)
		count, err = burst(f, "e0")
		assert.NilError(t, err)
		assert.Equal(t, count, 200, "the endpoint is warm")
		assert.Equal(t, f.RampUp("s"), time.Duration(0))
	})
}

// TestServiceWithoutLimitIsServedAsBefore guards against limits that nobody has configured.
func TestServiceWithoutLimitIsServedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		f.ReportColdness(func(c ColdChange) { t.Errorf("reported %v", c) })
		setCold(f, endpoints("near"), time.Minute, "e0")
		pick(t, f, false).Fail(wharfoutcome.ConnectionLost)
		count, err := burst(f, "e0")
		assert.NilError(t, err)
		assert.Equal(t, count, 200)
		endpoints, kept := f.ColdCounts()
		assert.Equal(t, endpoints, 0)
		assert.Equal(t, kept, uint64(0))
	})
}

// TestWarmEndpointsGoFirst guards against requests on slow cold endpoints while warm ones have free slots, and against
// requests that go nowhere because a cold endpoint looks empty.
func TestWarmEndpointsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near", "near")
		limitCold(f)
		setCold(f, endpoints("near", "near"), time.Hour, "e0")
		cold := 0
		for range 100 {
			time.Sleep(time.Second)
			for range 3 {
				p := pick(t, f, false)
				if p.Endpoint.ID == "e0" {
					cold++
				}
				p.Release()
			}
		}
		assert.Assert(t, cold < 40, "%d of 300 requests went to the cold endpoint", cold)
		_, err := burst(f, "e0")
		assert.NilError(t, err, "the warm endpoint takes what the cold one doesn't")
		time.Sleep(2 * time.Second)
		f.ReplaceLoads("other", []Load{{Endpoint: "e1", Online: slots}})
		count, err := burst(f, "e0")
		assert.Assert(t, count == 8 && errors.Is(err, wharfpick.ErrAllFull), "%d %v", count, err)
	})
}

// TestRestartedEndpointIsColdUntilALaterRegistration guards against full traffic to an endpoint that comes back from a
// crash before its registration tells that it is cold.
func TestRestartedEndpointIsColdUntilALaterRegistration(t *testing.T) {
	causes := map[string]func(f *Fleet, p *Placement){
		"unreachable": func(_ *Fleet, p *Placement) { p.Fail(wharfoutcome.NotSent) },
		"another":     func(_ *Fleet, p *Placement) { p.Fail(wharfoutcome.WrongEndpoint) },
		"broken off":  func(_ *Fleet, p *Placement) { p.Fail(wharfoutcome.ConnectionLost) },
		"word of peers": func(f *Fleet, _ *Placement) {
			f.ApplyChanges("other", []Load{{Endpoint: "e0", Faults: sharedFaultsToEject}})
		},
	}
	for name, cause := range causes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("near")
				var changes []ColdChange
				f.ReportColdness(func(c ColdChange) { changes = append(changes, c) })
				limitCold(f)
				before := time.Now()
				p := pick(t, f, false)
				time.Sleep(settled)
				cause(f, p)
				p.Release()
				f.SetReachable(p.Endpoint)
				time.Sleep(settled)
				f.Confirm([]string{"e0"}, before)
				assert.Equal(t, len(changes), 1, "%v", changes)
				assert.Assert(t, changes[0].Cold && changes[0].Share == 8 && changes[0].Limit == coldLimit, "%v", changes)
				assert.Equal(t, f.FreeSlots("s"), 8)
				count, err := burst(f, "e0")
				assert.Equal(t, count, 8)
				assert.Assert(t, errors.Is(err, wharfpick.ErrAllCold))
				f.Confirm([]string{"e0"}, time.Now())
				assert.Equal(t, len(changes), 2, "%v", changes)
				assert.Assert(t, !changes[1].Cold)
				count, err = burst(f, "e0")
				assert.NilError(t, err)
				assert.Equal(t, count, 200)
			})
		})
	}
}

// TestUnsettledEndpointIsCold guards against full traffic to the endpoints of a zone whose evacuation has just ended.
func TestUnsettledEndpointIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		var changes []ColdChange
		f.ReportColdness(func(c ColdChange) { changes = append(changes, c) })
		limitCold(f)
		list := endpoints("near")
		list[0].Unsettled = true
		f.Update(list)
		count, err := burst(f, "e0")
		assert.Equal(t, count, 8)
		assert.Assert(t, errors.Is(err, wharfpick.ErrAllCold))
		assert.Equal(t, changes[0].Cause, ColdEvacuated)
		f.Update(endpoints("near"))
		_, err = burst(f, "e0")
		assert.NilError(t, err)
	})
}

// TestAllocatorTellsWhyNoColdEndpointIsLeft guards against hosts that take a service for unavailable, or have requests
// wait, while it is only cold.
func TestAllocatorTellsWhyNoColdEndpointIsLeft(t *testing.T) {
	for _, allocatorKnows := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f, allocator := newFleet("near"), New("allocator", "near", func() {})
			limitCold(f)
			setCold(f, endpoints("near"), time.Minute, "e0")
			allocator.Update(endpoints("near"))
			if allocatorKnows {
				limitCold(allocator)
				setCold(allocator, endpoints("near"), time.Minute, "e0")
			}
			for range 8 {
				_, err := allocator.Pick(Request{Service: "s", Requester: f.Requester("s")})
				assert.NilError(t, err)
				allocator.ReplaceLoads("self", nil)
				p, adopted := f.Adopt("e0", Request{Service: "s"}, false)
				assert.Assert(t, adopted)
				p.Release()
			}
			_, err := allocator.Pick(Request{Service: "s", Requester: f.Requester("s")})
			assert.Assert(t, errors.Is(err, wharfpick.ErrAllCold), "%v", err)
			_, adopted := f.Adopt("e0", Request{Service: "s"}, false)
			assert.Assert(t, !adopted)
		})
	}
}

// TestOtherZonesAndUnlistedHostsSendNothing guards against hosts without a share.
func TestOtherZonesAndUnlistedHostsSendNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near", "far")
		f.LimitCold(map[string]float64{"s": coldLimit})
		setCold(f, endpoints("near", "far"), time.Minute, "e0", "e1")
		_, err := f.Pick(Request{Service: "s"})
		assert.Assert(t, errors.Is(err, wharfpick.ErrAllCold), "this host does not know the others yet")
		f.SetSenders(map[string][]string{"near": {"self"}, "far": {"other"}})
		time.Sleep(settled)
		assert.Equal(t, len(f.FreeSlotsElsewhere("s", true, nil)), 0)
		for range 8 {
			p := pick(t, f, false)
			assert.Equal(t, p.Endpoint.ID, "e0")
			p.Release()
		}
		_, err = f.Pick(Request{Service: "s"})
		assert.Assert(t, errors.Is(err, wharfpick.ErrAllCold))
	})
}

// TestGrantsOfAnyAllocatorsStayWithinTheLimit plays hosts that place requests themselves or have any other host place
// them, as while allocators are handed over, hosts disagree on them, or a partition has several. It guards against
// limits that hold only while all hosts name the same allocators.
func TestGrantsOfAnyAllocatorsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(rt, "hosts")
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) placeStep {
			return placeStep{
				pause:     time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause")),
				host:      rapid.IntRange(0, hosts-1).Draw(t, "host"),
				allocator: rapid.IntRange(0, hosts-1).Draw(t, "allocator"),
				requests:  rapid.IntRange(1, 10).Draw(t, "requests"),
			}
		}), 1, 100).Draw(rt, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = playGrants(hosts, steps) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// placeStep is a number of requests of a host that are placed by one host at the same time.
type placeStep struct {
	pause                     time.Duration
	host, allocator, requests int
}

func playGrants(hosts int, steps []placeStep) (failure string) {
	list := endpoints("near", "near")
	var names []string
	var fleets []*Fleet
	for i := range hosts {
		names = append(names, fmt.Sprint("h", i))
	}
	for _, name := range names {
		f := New(name, "near", func() {})
		f.LimitCold(map[string]float64{"s": coldLimit})
		f.SetSenders(map[string][]string{"near": names})
		f.Update(list)
		setCold(f, list, time.Hour, "e0", "e1")
		fleets = append(fleets, f)
	}
	time.Sleep(settled)
	placed := map[string][]time.Time{}
	place := func(f, allocator *Fleet, r *Requester) (*Placement, bool) {
		if f == allocator {
			p, err := f.Pick(Request{Service: "s"})
			return p, err == nil
		}
		p, err := allocator.Pick(Request{Service: "s", Requester: r})
		if err != nil {
			return nil, false
		}
		allocator.ReplaceLoads(f.host, nil)
		return f.Adopt(p.Endpoint.ID, Request{Service: "s"}, false)
	}
	for _, step := range steps {
		time.Sleep(step.pause)
		host, allocator := fleets[step.host], fleets[step.allocator]
		requester := host.Requester("s") // of requests that are placed at the same time
		for range step.requests {
			p, ok := place(host, allocator, requester)
			if !ok {
				continue
			}
			p.Release()
			times := append(placed[p.Endpoint.ID], time.Now())
			for len(times) > 0 && time.Since(times[0]) >= time.Second {
				times = times[1:]
			}
			placed[p.Endpoint.ID] = times
			if len(times) > wharfcold.Total(coldLimit) {
				return fmt.Sprintf("%s got %d requests in a second", p.Endpoint.ID, len(times))
			}
		}
	}
	return ""
}

package wharffleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfpace"
)

// pacedFleet returns a fleet of six endpoints with a seeded random source and, unless paces is nil, weights by them.
func pacedFleet(paces *wharfpace.Paces) *Fleet {
	f := newFleet("near", "near", "near", "near", "far", "far")
	f.random = rand.New(rand.NewPCG(7, 7)).Float64
	if paces != nil {
		f.WeighEndpoints(func(e *Endpoint, now time.Time) float64 { return paces.Factor(e.Service, e.ID, now) })
	}
	return f
}

// usualPace is the time between two events of an endpoint of the usual speed.
const usualPace = 3 * time.Millisecond

// learnPaces has each endpoint answer five times, with the usual pace unless unusual holds another.
func learnPaces(paces *wharfpace.Paces, f *Fleet, unusual map[string]time.Duration) {
	for range 5 {
		for _, e := range f.entries {
			p := Placement{Endpoint: e.Endpoint}
			paces.Learn(p.Sample(200, 199*cmp.Or(unusual[e.ID], usualPace)))
		}
	}
}

// placements returns the endpoints of a load of online requests and batch items, of which some end on the way.
func placements(t *testing.T, f *Fleet) []string {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	var ids []string
	var running []*Placement
	for i := range 400 {
		if len(running) > 30 || len(running) > 5 && random.IntN(2) == 0 {
			index := random.IntN(len(running))
			running[index].Release()
			running = append(running[:index], running[index+1:]...)
		}
		p, err := f.Pick(Request{Service: "s", Batch: i%5 == 0})
		if err != nil {
			ids = append(ids, err.Error())
			continue
		}
		ids = append(ids, p.Endpoint.ID)
		running = append(running, p)
	}
	return ids
}

// TestPlacementOfAlikeEndpointsIsUnchanged guards deployments whose endpoints are alike: with paces within a factor of 1.5 of
// the median, or unknown ones, each request must be placed exactly as without paces.
func TestPlacementOfAlikeEndpointsIsUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := placements(t, pacedFleet(nil))
		assert.DeepEqual(t, placements(t, pacedFleet(wharfpace.New("near"))), want)
		paces := wharfpace.New("near")
		f := pacedFleet(paces)
		learnPaces(paces, f, map[string]time.Duration{"e0": 4400 * time.Microsecond, "e1": 2100 * time.Microsecond})
		assert.DeepEqual(t, placements(t, f), want)
		learnPaces(paces, f, map[string]time.Duration{"e0": 9 * time.Millisecond})
		f = pacedFleet(paces)
		got := placements(t, f)
		assert.Assert(t, fmt.Sprint(got) != fmt.Sprint(want), "a third of the speed is to change placement")
	})
}

// TestSlowEndpointIsUsedWhenOthersAreFull guards against slots that stay free while requests are refused or preempt batch
// items.
func TestSlowEndpointIsUsedWhenOthersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paces := wharfpace.New("near")
		f := newFleet("near", "near", "near")
		f.WeighEndpoints(func(e *Endpoint, now time.Time) float64 { return paces.Factor(e.Service, e.ID, now) })
		learnPaces(paces, f, map[string]time.Duration{"e0": 9 * time.Millisecond})
		counts := map[string]int{}
		for range slots {
			counts[pick(t, f, false).Endpoint.ID]++
		}
		assert.Assert(t, counts["e0"] <= 2, "%v", counts)
		for range 2 * slots {
			counts[pick(t, f, false).Endpoint.ID]++
		}
		assert.DeepEqual(t, counts, map[string]int{"e0": slots, "e1": slots, "e2": slots})
	})
}

package wharfpick

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfconfig"
)

func endpoints(near, far, slots int) []wharfconfig.Endpoint {
	var list []wharfconfig.Endpoint
	for i := range near + far {
		zone := "near"
		if i >= near {
			zone = "far"
		}
		list = append(list, wharfconfig.Endpoint{Name: fmt.Sprint("e", i), Service: "s", Zone: zone, URL: fmt.Sprint("http://e", i), Slots: slots})
	}
	return list
}

func newPicker(near, far, slots, daemons int) *Picker {
	p := New("near", nil)
	p.Update(endpoints(near, far, slots), nil, daemons)
	return p
}

func TestPickFillsItsShareNearAndThenAPartOfItFar(t *testing.T) {
	p := newPicker(2, 2, 16, 2)
	now := time.Now()
	zones := ""
	for {
		e, err := p.Pick(Request{Service: "s", Now: now})
		if errors.Is(err, ErrAllFull) {
			break
		}
		assert.NilError(t, err)
		zones += e.Config().Zone[:1]
	}
	assert.Equal(t, zones, strings.Repeat("n", 16)+strings.Repeat("f", 4))
}

func TestPickUsesAllItsShareFarWhereNothingNearWorks(t *testing.T) {
	p := newPicker(1, 1, 8, 2)
	now := time.Now()
	p.Find("e0").Fail(true, now)
	for range 4 {
		e, err := p.Pick(Request{Service: "s", Now: now})
		assert.NilError(t, err)
		assert.Equal(t, e.Config().Zone, "far")
	}
	_, err := p.Pick(Request{Service: "s", Now: now})
	assert.Assert(t, errors.Is(err, ErrAllFull))
}

func TestFaultsEjectAndSuccessBringsBack(t *testing.T) {
	p := newPicker(1, 0, 4, 1)
	now := time.Now()
	e := p.Find("e0")
	for range faultsToEject {
		assert.Assert(t, !e.Ejected(now))
		e.Fail(false, now)
	}
	assert.Assert(t, e.Ejected(now))
	_, err := p.Pick(Request{Service: "s", Now: now})
	assert.Assert(t, errors.Is(err, ErrNoEndpoint))
	later := now.Add(firstEjection)
	assert.Assert(t, !e.Ejected(later))
	e.Fail(false, later)
	assert.Assert(t, e.Ejected(later.Add(2*firstEjection-time.Millisecond)), "the next ejection is twice as long")
	e.Succeed()
	later = later.Add(2 * firstEjection)
	e.Fail(false, later)
	assert.Assert(t, !e.Ejected(later))
}

func TestLeavingAndAvoidedEndpointsAreNotPicked(t *testing.T) {
	p := New("near", nil)
	p.Update(endpoints(3, 0, 100), map[string]bool{"e0": true}, 1)
	for range 50 {
		e, err := p.Pick(Request{Service: "s", Avoid: map[string]bool{"e1": true}, Now: time.Now()})
		assert.NilError(t, err)
		assert.Equal(t, e.Config().Name, "e2")
	}
}

func TestAffinityHoldsUnderItsCap(t *testing.T) {
	p := newPicker(4, 0, 100, 1)
	picked := map[string]int{}
	for range 40 {
		e, err := p.Pick(Request{Service: "s", Affinity: "the same prompt", Now: time.Now()})
		assert.NilError(t, err)
		picked[e.Config().Name]++
	}
	most := 0
	for _, count := range picked {
		most = max(most, count)
	}
	assert.Assert(t, most >= 25 && most <= 35, "%v", picked)
}

func TestEndpointsKeepTheirCountsThroughUpdates(t *testing.T) {
	p := newPicker(1, 0, 4, 1)
	e, err := p.Pick(Request{Service: "s", Now: time.Now()})
	assert.NilError(t, err)
	p.Update(endpoints(1, 1, 8), nil, 1)
	assert.Equal(t, p.Find("e0").Running(), 1)
	e.Release()
	assert.Equal(t, p.Find("e0").Running(), 0)
}

func BenchmarkPick(b *testing.B) {
	p := newPicker(140, 0, 64, 57)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			e, err := p.Pick(Request{Service: "s", Now: time.Now()})
			if err != nil {
				b.Fatal(err)
			}
			e.Release()
		}
	})
}

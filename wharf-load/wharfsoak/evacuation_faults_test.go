package wharfsoak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
)

// TestSeedsDrawTheSameFaultsWithoutEvacuations guards against seeds that mean something else since evacuations were added.
func TestSeedsDrawTheSameFaultsWithoutEvacuations(t *testing.T) {
	for seed := range uint64(50) {
		draw := func(evacuations bool) (faults, added int) {
			s := &system{options: Options{Seed: seed, Duration: 12 * time.Second, Evacuations: evacuations}}
			s.hosts, s.endpoints = make([]*host, 4), make([]*endpoint, 6)
			for _, e := range scheduleFaults(newRand(seed), s) {
				faults++
				if e.kind == "zone-evacuated" {
					added++
				}
			}
			return faults, added
		}
		without, none := draw(false)
		with, added := draw(true)
		assert.Equal(t, none, 0)
		assert.Assert(t, added > 0 && added <= maxEvacuations)
		assert.Equal(t, with-added, without)
	}
}

// TestChecksFindRequestsInEvacuatedZones guards against a check that lets requests to an evacuated zone pass, or that blames
// hosts that could not know of the evacuation.
func TestChecksFindRequestsInEvacuatedZones(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    time.Duration // of the request, from the start of the evacuation
		fault    time.Duration // from the start of the evacuation, 0 for none
		ended    bool
		findings int
	}{
		{"at once", evacuationLimit / 2, 0, false, 0},
		{"late", evacuationLimit + time.Second, 0, false, 1},
		{"after the end", evacuationLimit + time.Second, 0, true, 0},
		{"from a host that was cut off", evacuationLimit + time.Second, evacuationLimit, false, 0},
		{"from a host that has long been back", 4 * evacuationLimit, evacuationLimit, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := wharfstandin.NewStore()
			e, err := wharfstandin.StartEndpoint(store, "e", service, zoneOf(0), slots)
			assert.NilError(t, err)
			defer e.Stop()
			h := &host{name: "host-0"}
			s := &system{store: store, hosts: []*host{h}, endpoints: []*endpoint{{instances: []*wharfstandin.Endpoint{e}}}}
			from := time.Now().Add(-c.after)
			s.evacuations.spans = map[string][]span{zoneOf(0): {{from: from}}}
			if c.ended {
				s.evacuations.spans[zoneOf(0)][0].to = from.Add(time.Second)
			}
			if c.fault > 0 {
				h.faults.spans = []span{{from: from.Add(c.fault), to: from.Add(c.fault + time.Millisecond)}}
			}
			runAt(t, e, "r")
			tr := &traffic{system: s, requests: []*request{{id: "r", host: h}}}
			tr.checkEvacuations()
			assert.Equal(t, len(s.findings.list()), c.findings, "%v", s.findings.list())
		})
	}
}

// runAt has an endpoint run a request.
func runAt(t *testing.T, e *wharfstandin.Endpoint, id string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s/", e.Address), http.NoBody)
	assert.NilError(t, err)
	for name, value := range wharfstandin.RunHeader(e.ID, id) {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

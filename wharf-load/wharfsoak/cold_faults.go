package wharfsoak

import (
	"context"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// coldSeed separates the generator of cold starts from the others of a seed.
	coldSeed = 0x5b8f2d1e90a7c463
	// coldPerSecond is the limit of cold endpoints, and coldBound what they withstand in any second.
	coldPerSecond = 8.3
	coldBound     = 17 // 1.5 * coldPerSecond + 5
	// minCold and maxCold bound how long endpoints are cold.
	minCold = 500 * time.Millisecond
	maxCold = 4 * time.Second
	// coldKnown is the time within which hosts learn that an endpoint is warm.
	coldKnown = 2 * time.Second
)

// coldStart returns how long the endpoints of the run are cold after a start, 0 without cold endpoints.
func (s *system) coldStart() wharfstandin.ColdStart {
	if !s.options.Cold {
		return wharfstandin.ColdStart{}
	}
	duration := minCold + time.Duration(newRand(s.options.Seed^coldSeed).Int64N(int64(maxCold-minCold)))
	return wharfstandin.ColdStart{Duration: duration, PerSecond: coldPerSecond}
}

// turnCold makes the endpoints of a zone cold whose evacuation is about to end.
func (s *system) turnCold(zone string) {
	if !s.options.Cold {
		return
	}
	for i, e := range s.endpoints {
		if zoneOf(i) == zone {
			e.current().TurnCold()
		}
	}
}

// awaitWarm waits until all endpoints are warm and hosts know it.
func (s *system) awaitWarm(ctx context.Context) {
	if s.options.Cold {
		wharfpause.For(ctx, s.coldStart().Duration+coldKnown)
	}
}

// returnUnknown reports whether a host started, or had no store, while an evacuation of a zone ended. It can't know then that
// registrations from before that end may be wrong.
func (s *system) returnUnknown(zone string) bool {
	for _, evacuated := range s.evacuations.spans[zone] {
		from, to := evacuated.to.Add(-coldKnown), evacuated.to.Add(coldKnown)
		if s.storeFaults.overlaps(from, to) {
			return true
		}
		for _, h := range s.hosts {
			if h.faults.overlaps(from, to) || h.plannedStops.overlaps(from, to) {
				return true
			}
		}
	}
	return false
}

// checkColdEndpoints checks that cold endpoints got no more requests than they withstand.
func (t *traffic) checkColdEndpoints() {
	for _, e := range t.system.endpoints {
		for _, instance := range e.instances {
			most := instance.MostColdArrivals()
			if most > coldBound && !t.system.returnUnknown(instance.Zone) {
				t.system.findings.add("%s got %d requests in a second while it was cold, %d are allowed", instance.ID, most, coldBound)
			}
		}
	}
}

package wharfsoak

import (
	"context"
	"sync"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// evacuationFaultSeed separates the generator of evacuations from the others of a seed.
	evacuationFaultSeed = 0x8cb92ba72f3d8dd7
	// maxEvacuations is the maximum number of evacuations in a run that asks for them.
	maxEvacuations = 3
	// evacuationLimit is the time within which an evacuation must be in force at hosts in contact with the store.
	evacuationLimit = 5 * time.Second
	// evacuationAgain is the longest time between the end of an evacuation and its second request.
	evacuationAgain = time.Second
	// In this share of the evacuations, the request is cancelled and made again half-way.
	evacuationAgainShare = 0.3
)

// evacuationFaults maps kinds to evacuations of zones.
var evacuationFaults = map[string]faultFunc{
	"zone-evacuated": func(ctx context.Context, s *system, e faultEvent) { s.evacuate(ctx, e) },
}

// evacuations records when each zone was evacuated.
type evacuations struct {
	mu    sync.Mutex
	spans map[string][]span // by zone, from the store's reply until its end was requested
}

// evacuate evacuates the zone of an endpoint for the event's duration after evacuationLimit, unless another event does.
func (s *system) evacuate(ctx context.Context, e faultEvent) {
	zone := zoneOf(e.endpoint)
	if !s.startEvacuation(zone) {
		return
	}
	if e.variant < evacuationAgainShare {
		wharfpause.For(ctx, e.duration/2)
		s.endEvacuation(zone)
		wharfpause.For(ctx, time.Duration(e.variant*float64(evacuationAgain)))
		if !s.startEvacuation(zone) {
			return
		}
	}
	wharfpause.For(ctx, evacuationLimit+e.duration)
	s.endEvacuation(zone)
}

// startEvacuation requests a zone's evacuation and reports whether it was not in force.
func (s *system) startEvacuation(zone string) bool {
	v := &s.evacuations
	v.mu.Lock()
	defer v.mu.Unlock()
	spans := v.spans[zone]
	if len(spans) > 0 && spans[len(spans)-1].to.IsZero() {
		return false
	}
	if err := s.store.StartEvacuation(zone); err != nil {
		s.findings.add("could not evacuate %s: %v", zone, err)
		return false
	}
	if v.spans == nil {
		v.spans = map[string][]span{}
	}
	v.spans[zone] = append(spans, span{from: time.Now()})
	return true
}

// endEvacuation cancels a zone's evacuation if it is in force.
func (s *system) endEvacuation(zone string) {
	v := &s.evacuations
	v.mu.Lock()
	defer v.mu.Unlock()
	spans := v.spans[zone]
	if len(spans) == 0 || !spans[len(spans)-1].to.IsZero() {
		return
	}
	spans[len(spans)-1].to = time.Now()
	s.turnCold(zone)
	if err := s.store.EndEvacuation(zone); err != nil {
		s.findings.add("could not end the evacuation of %s: %v", zone, err)
	}
}

// evacuatedFor reports whether a zone had been evacuated for longer than evacuationLimit at a time.
func (s *system) evacuatedFor(zone string, at time.Time) bool {
	for _, spanOfZone := range s.evacuations.spans[zone] {
		if at.After(spanOfZone.from.Add(evacuationLimit)) && (spanOfZone.to.IsZero() || at.Before(spanOfZone.to)) {
			return true
		}
	}
	return false
}

// checkEvacuations checks that endpoints of evacuated zones got no requests from hosts that had been in contact with the
// store for evacuationLimit.
func (t *traffic) checkEvacuations() {
	senders := map[string]*host{}
	for _, r := range t.requests {
		senders[r.id] = r.host
	}
	for _, a := range t.takeUps {
		senders[a.id] = a.host
	}
	for _, e := range t.system.endpoints {
		for _, instance := range e.instances {
			for _, run := range instance.Runs() {
				if t.system.evacuatedFor(instance.Zone, run.At) {
					t.checkEvacuatedRun(senders[run.ID], instance.Zone, run)
				}
			}
		}
	}
}

// checkEvacuatedRun adds a finding about a run in an evacuated zone, unless the host that sent it, or any host if it is not
// known, was not in contact with the store.
func (t *traffic) checkEvacuatedRun(sender *host, zone string, run wharfstandin.Run) {
	from := run.At.Add(-evacuationLimit)
	if t.system.storeFaults.overlaps(from, run.At) {
		return
	}
	for _, h := range t.system.hosts {
		if (sender == nil || sender == h) && h.faults.overlaps(from, run.At) {
			return
		}
	}
	name := "some host"
	if sender != nil {
		name = sender.name
	}
	t.system.findings.add("%s began at %s though %s is evacuated, sent by %s", run.ID, run.Endpoint, zone, name)
}

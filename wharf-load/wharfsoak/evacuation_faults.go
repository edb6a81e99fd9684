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
	// In this share of them, the event's host is suspended from before the request until evacuationLimit after it. Once it
	// goes on, it must not send by what it knew before.
	evacuationFrozenShare = 0.4
	// freezeLead is the time from the suspension to the request.
	freezeLead = 200 * time.Millisecond
)

// evacuationFaults maps kinds to evacuations of zones.
var evacuationFaults = map[string]faultFunc{
	"zone-evacuated": func(ctx context.Context, s *system, e faultEvent) { s.evacuate(ctx, e) },
}

// evacuations records when each zone was evacuated.
type evacuations struct {
	mu     sync.Mutex
	spans  map[string][]span // by zone, from the store's reply until its end was requested
	frozen []frozenHost
}

// frozenHost is a host that was suspended when the evacuation of a zone began.
type frozenHost struct {
	host *host
	zone string
	span span // from the end of the suspension to that of the evacuation
}

// evacuate evacuates the zone of an endpoint for the event's duration after evacuationLimit, unless another event does.
func (s *system) evacuate(ctx context.Context, e faultEvent) {
	zone := zoneOf(e.endpoint)
	if e.variant >= 1-evacuationFrozenShare {
		s.evacuateFrozen(ctx, e, zone)
		return
	}
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

// evacuateFrozen evacuates a zone while a host is suspended.
func (s *system) evacuateFrozen(ctx context.Context, e faultEvent, zone string) {
	h := s.hosts[e.host]
	var frozen sync.WaitGroup
	frozen.Go(func() { s.pauseHost(ctx, h, freezeLead+evacuationLimit) })
	wharfpause.For(ctx, freezeLead)
	started := s.startEvacuation(zone)
	frozen.Wait()
	from := time.Now()
	if !started {
		return
	}
	wharfpause.For(ctx, e.duration)
	s.evacuations.mu.Lock()
	s.evacuations.frozen = append(s.evacuations.frozen, frozenHost{host: h, zone: zone, span: span{from: from, to: time.Now()}})
	s.evacuations.mu.Unlock()
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
				t.checkFrozenHosts(senders[run.ID], instance.Zone, run)
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

// checkFrozenHosts adds a finding about a run that a host sent to an evacuated zone after it had been suspended during the
// change, unless it had another fault or the store had one.
func (t *traffic) checkFrozenHosts(sender *host, zone string, run wharfstandin.Run) {
	for _, f := range t.system.evacuations.frozen {
		if f.host != sender || f.zone != zone || !run.At.After(f.span.from) || run.At.After(f.span.to) {
			continue
		}
		from := f.span.from.Add(-evacuationLimit)
		if t.system.storeFaults.overlaps(from, run.At) || sender.faults.count(from, run.At) > 1 {
			continue
		}
		t.system.findings.add("%s began at %s, sent by %s %v after its suspension, during which %s was evacuated", run.ID, run.Endpoint,
			sender.name, run.At.Sub(f.span.from).Round(time.Millisecond), zone)
	}
}

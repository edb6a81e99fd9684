package wharffleet

import (
	"time"

	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfevacuation"
)

// takesRequests reports whether an endpoint may get requests at all: it is not leaving, and its zone is not evacuated. Every
// choice of an endpoint depends on it. The caller holds the lock.
func (f *Fleet) takesRequests(e *entry) bool {
	return !e.leaves() && !f.evacuations.Includes(e.Zone)
}

// SetEvacuations replaces the evacuated zones. Their endpoints get no more requests; those that run there go on. Endpoints of
// zones that return are readmitted if their ejection has ended: no request could show meanwhile that they work.
func (f *Fleet) SetEvacuations(set *wharfevacuation.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, now := f.evacuations, time.Now()
	f.evacuations = set
	if !set.Returns(before) {
		return
	}
	for _, e := range f.entries {
		if before.Includes(e.Zone) && !set.Includes(e.Zone) && !e.ejectedUntil.After(now) {
			e.localFaults, e.sharedFaults = 0, 0
			e.readmit()
		}
	}
}

// RequireCurrent keeps requests from being sent while current reports false, which says that the evacuated zones that this
// host knows may not be those in force. It must be called before the first Pick.
func (f *Fleet) RequireCurrent(current func() bool) {
	f.current = current
}

// MaySend reports whether the request may still be sent to its endpoint. It is asked right before the request is sent: the
// evacuation of the endpoint's zone may have started since the request was placed, by this host or by another one.
func (p *Placement) MaySend() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.current() && !p.fleet.evacuations.Includes(p.entry.Zone)
}

// Evacuates reports whether an evacuated zone has endpoints of a service and version, "" for any, that could otherwise get
// requests.
func (f *Fleet) Evacuates(origin wharfcall.Origin) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.evacuations.Zones()) == 0 {
		return false
	}
	for e := range f.services[origin.Service].all() {
		if f.evacuations.Includes(e.Zone) && !e.leaves() && (origin.Version == "" || e.Version == origin.Version) {
			return true
		}
	}
	return false
}

// ExcludesNear reports whether endpoints of a service in this host's zone get no requests that are limited to regions, nil for
// all, because the zone is evacuated or in another region.
func (f *Fleet) ExcludesNear(service string, regions []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	return s != nil && len(s.near) > 0 && (f.evacuations.Includes(f.zone) || !f.regions.Allows(f.zone, regions))
}

// SlotsElsewhere returns the number of slots of a service, free or not, in each other zone of the regions, nil for all, that
// takes requests.
func (f *Fleet) SlotsElsewhere(service string, regions []string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	slots, now := map[string]int{}, time.Now()
	s := f.services[service]
	if s == nil {
		return slots
	}
	for _, e := range s.far {
		if f.takesRequests(e) && f.regions.Allows(e.Zone, regions) && e.available(false, now) {
			slots[e.Zone] += e.Slots
		}
	}
	return slots
}

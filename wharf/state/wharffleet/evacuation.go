package wharffleet

import (
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfevacuation"
)

// takesRequests reports whether an endpoint may get requests at all: it is not leaving, and its zone is not evacuated. Every
// choice of an endpoint depends on it. The caller holds the lock.
func (f *Fleet) takesRequests(e *entry) bool {
	return !e.leaves() && !f.evacuations.Includes(e.Zone)
}

// SetEvacuations replaces the evacuated zones. Their endpoints get no more requests; those that run there go on.
func (f *Fleet) SetEvacuations(set *wharfevacuation.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations = set
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

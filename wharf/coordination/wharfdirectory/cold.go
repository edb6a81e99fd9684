package wharfdirectory

import (
	"time"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
)

const (
	// coldSlack is added to the remaining time of a registration. Registrations reach this host after different delays,
	// and a view with a later end only for this reason would be published for each rewrite of a registration. A cold
	// endpoint is warm as soon as a registration says so, so that the slack counts only if none arrives.
	coldSlack = 500 * time.Millisecond
	// maxCold bounds the remaining time of a registration, which is a few seconds.
	maxCold = time.Hour
)

// coldService returns a service if its cold endpoints have a limit, and otherwise nil. The caller holds d.mu.
func (d *Directory) coldService(name string) *wharfroute.Service {
	if d.configuration == nil {
		return nil
	}
	for i := range d.configuration.Services {
		if s := &d.configuration.Services[i]; s.Name == name && s.ColdPerSecond > 0 {
			return s
		}
	}
	return nil
}

// coldUntil returns until when an endpoint stays cold, given the remaining time that was reported, and what was
// known of it before. The caller holds d.mu.
func (d *Directory) coldUntil(e wharffleet.Endpoint, remaining time.Duration, before registration) time.Time {
	sameIncarnation := before.endpoint.ID == e.ID && before.endpoint.Born.Equal(e.Born)
	if remaining == wharffleet.ColdUnknown {
		if sameIncarnation {
			return before.coldUntil
		}
		if s := d.coldService(e.Service); s != nil {
			remaining = s.ColdStart
		}
	}
	if remaining <= 0 {
		return time.Time{}
	}
	until := time.Now().Add(min(remaining, maxCold))
	if sameIncarnation && !until.After(before.coldUntil) {
		return before.coldUntil
	}
	return until.Add(coldSlack)
}

// register records a reported endpoint, with the version of its row or 0 if that is not known, and
// reports whether the view changes. The caller holds d.mu.
func (d *Directory) register(e wharffleet.Endpoint, remaining time.Duration, version uint64) (changed bool) {
	e.ColdRemaining = 0
	known, exists := d.endpoints[e.ID]
	r := registration{endpoint: e, coldUntil: d.coldUntil(e, remaining, known), version: version}
	if known.endpoint == e {
		r.missingSince, r.version = known.missingSince, max(known.version, version)
	}
	d.endpoints[e.ID] = r
	return !exists || d.viewed(known) != d.viewed(r)
}

// setPresent records that an endpoint is registered. The caller holds d.mu.
func (d *Directory) setPresent(id string) {
	r := d.endpoints[id]
	r.missingSince = time.Time{}
	d.endpoints[id] = r
}

// viewed returns the endpoint of a registration for the view. Coldness is part of the view only where it has an effect. The
// caller holds d.mu.
func (d *Directory) viewed(r registration) wharffleet.Endpoint {
	e := r.endpoint
	if d.coldService(e.Service) != nil {
		e.ColdUntil = r.coldUntil
		e.Unsettled = r.version <= d.evacuations.set.EndedAt(e.Zone) && d.evacuations.set.EndedAt(e.Zone) > 0
	}
	return e
}

// addColdness adds the remaining times of the cold endpoints, and the versions of all registrations, to a snapshot for a
// peer. Clocks differ, so that no time of day is sent. The caller holds d.mu.
func (d *Directory) addColdness(s *Snapshot) {
	s.ReportsCold, s.Cold, s.Written = true, map[string]time.Duration{}, map[string]uint64{}
	for id, r := range d.endpoints {
		s.Written[id] = r.version
		if left := time.Until(r.coldUntil); left > 0 {
			s.Cold[id] = left
		}
	}
}

// remaining returns how much longer an endpoint of a peer's snapshot stays cold.
func (s *Snapshot) remaining(id string) time.Duration {
	if !s.ReportsCold {
		return wharffleet.ColdUnknown
	}
	return s.Cold[id]
}

// confirm passes on the registrations in an answer of the store that were written since the poll before it. The caller
// holds d.mu.
func (d *Directory) confirm(page wharfrecords.Page, known uint64, started time.Time) {
	var ids []string
	for _, row := range page.Rows {
		if !row.Deleted && row.Version > known {
			ids = append(ids, row.Key)
		}
	}
	if d.options.OnWritten != nil && !d.lastPoll.IsZero() {
		d.options.OnWritten(ids, d.lastPoll)
	}
	d.lastPoll = started
}

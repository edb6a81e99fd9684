package wharffleet

import (
	"time"

	"wagtailwharf.example/wharf/state/wharfpace"
)

// WeighEndpoints makes Pick multiply the weight of each endpoint by a factor, such as one for its pace. Free slots still go
// before those of batch items. It must be called before the first Pick. factor is called with the fleet's lock held.
func (f *Fleet) WeighEndpoints(factor func(e *Endpoint, now time.Time) float64) {
	f.factor = factor
}

// Sample returns what an answer of the endpoint shows of its pace: the number of its events and the time from the first of
// them to the last.
func (p *Placement) Sample(events int, span time.Duration) wharfpace.Sample {
	return wharfpace.Sample{
		Service: p.Endpoint.Service, Endpoint: p.Endpoint.ID, Zone: p.Endpoint.Zone, Gaps: events - 1, Span: span,
	}
}

package wharfhost

import (
	"time"

	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpace"
)

// weighByPace makes this host learn the paces of endpoints and weigh endpoints by them, if the settings say so.
func (h *Host) weighByPace() {
	if !h.settings.Placement.ByCost {
		return
	}
	h.paces = wharfpace.New(h.settings.Zone)
	h.fleet.WeighEndpoints(func(e *wharffleet.Endpoint, now time.Time) float64 {
		return h.paces.Factor(e.Service, e.ID, now)
	})
}

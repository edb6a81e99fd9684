package wharfhost

import (
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// limitCold applies the limits of cold endpoints in a configuration, which is nil until one is known.
func (h *Host) limitCold(table *wharfroute.Table) {
	if table == nil {
		return
	}
	limits := map[string]float64{}
	for _, s := range table.Services {
		if s.ColdPerSecond > 0 {
			limits[s.Name] = s.ColdPerSecond
		}
	}
	h.limitsCold.Store(len(limits) > 0)
	h.fleet.LimitCold(limits)
	h.updateSenders()
}

// updateSenders passes the fleet the hosts that hold shares of the limits of cold endpoints, once this host knows them all.
func (h *Host) updateSenders() {
	if h.limitsCold.Load() && h.membership.hostCount() > 0 {
		h.fleet.SetSenders(h.membership.hostsByZone(time.Now()))
	}
}

// onRankChange applies this host's rank among the hosts of its zone, which gossip reports when hosts may have changed.
func (h *Host) onRankChange(rank, count int) {
	h.fleet.SetPosition(rank, count)
	h.updateSenders()
}

// onRegistrationsWritten takes note of registrations that were written after a time. The queue's expected waits are from
// the time when endpoints were cold if one of them is warm again.
func (h *Host) onRegistrationsWritten(ids []string, after time.Time) {
	h.fleet.Confirm(ids, after)
	if !h.turnedWarm.Swap(false) {
		return
	}
	h.gate.ForgetIntervals()
	if table := h.table(); table != nil {
		for _, s := range table.Services {
			h.gate.Dispatch(s.Name)
		}
	}
}

// logColdness logs that an endpoint has become cold or warm. Only hosts of its zone send to a cold endpoint, and log it by
// default: a zone that returns cold would otherwise take a line of each host for each endpoint.
func (h *Host) logColdness(c wharffleet.ColdChange) {
	verbosity := klog.Level(0)
	if c.Zone != h.settings.Zone && c.Share == 0 {
		verbosity = 1
	}
	if !c.Cold {
		h.turnedWarm.Store(true)
		klog.V(verbosity).InfoS("endpoint warm again", "endpoint", c.Endpoint, "service", c.Service, "endpoint-zone", c.Zone)
		return
	}
	h.metrics.Count("endpoints-turned-cold")
	klog.V(verbosity).InfoS("endpoint cold", "endpoint", c.Endpoint, "service", c.Service, "endpoint-zone", c.Zone,
		"cause", string(c.Cause), "remaining", c.Remaining.String(), "limit", c.Limit, "share", c.Share)
}

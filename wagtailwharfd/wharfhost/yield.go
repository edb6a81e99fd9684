package wharfhost

import (
	"strings"

	"k8s.io/klog/v2"
)

// zoneHostPrefix marks the loads that another zone's allocator reports for all hosts that do not report here.
const zoneHostPrefix = "zone/"

func zoneHost(zone string) string { return zoneHostPrefix + zone }

// requestYield stops a batch item at an endpoint in favour of an online request, on this host or on the host that runs
// the most items there.
func (h *Host) requestYield(endpoint string) {
	host, found := h.fleet.YieldingHost(endpoint)
	if !found {
		return
	}
	if host == h.settings.Host {
		h.yieldLocally(endpoint, h.settings.Host)
		return
	}
	if zone, ok := strings.CutPrefix(host, zoneHostPrefix); ok {
		allocators := h.gossip.RemoteAllocators(zone)
		if len(allocators) == 0 {
			return
		}
		host = allocators[0].Host
	}
	h.metrics.Count("yields-asked")
	h.gossip.RequestYield(host, endpoint)
}

// handleYield stops a batch item that this host runs at an endpoint. An allocator that runs none there passes the
// request of another zone on to the host of its own zone that does.
func (h *Host) handleYield(endpoint, requester string) {
	if h.yieldLocally(endpoint, requester) {
		return
	}
	host, found := h.fleet.YieldingHost(endpoint)
	if !found || host == h.settings.Host || strings.HasPrefix(host, zoneHostPrefix) {
		return
	}
	asker, known := h.gossip.Peer(requester)
	if known && asker.Zone != h.settings.Zone {
		h.gossip.RequestYield(host, endpoint)
	}
}

// yieldLocally stops a batch item that this host runs at an endpoint, and reports whether there was one.
func (h *Host) yieldLocally(endpoint, requester string) bool {
	if !h.runner.Preempt(endpoint) {
		return false
	}
	h.metrics.Count("yields")
	klog.V(1).InfoS("batch item stopped for an online request", "endpoint", endpoint, "asked-by", requester)
	return true
}

package wharfhost

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharflimiter"
)

// newAllocator returns the allocator of slots for this host and, if it is elected, for its zone.
func (h *Host) newAllocator() *wharfallocator.Allocator {
	return wharfallocator.New(wharfallocator.Options{
		Fleet:      h.fleet,
		Gate:       h.gate,
		Allocators: h.gossip.Allocators,
		Remote:     h.gossip.RemoteAllocators,
		Ready:      func() bool { return h.allocationCapacity() > 0 },
		Call: func(
			ctx context.Context, to wharfgossip.AllocatorHost, r wharfallocator.Reservation,
		) (wharfallocator.Grant, error) {
			return h.peerClient.Reserve(ctx, to.Address, r)
		},
		Preempt: h.requestYield,
		Count:   h.metrics.Count,
		Paces:   h.paces,
	})
}

// admittedBy returns the host that admits this host's requests, or "" if it does so itself.
func (h *Host) admittedBy() string {
	if usable := h.allocator.Usable(); len(usable) > 0 && !usable[0].Self {
		return usable[0].Host
	}
	return ""
}

// sharePeriod is how long a host may use the share of another one after it has heard of it: two of its reports. An
// allocator that takes over uses a share at most so long before the previous one stops.
const sharePeriod = time.Second

// rateShares returns what this host may use of the rates.
func (h *Host) rateShares() wharflimiter.Shares {
	if h.admittedBy() != "" {
		return wharflimiter.Shares{Reserved: h.reservedShares()}
	}
	shares, now := 1, time.Now()
	for _, p := range h.gossip.Peers() {
		if p.Status.AdmittedBy == h.settings.Host && now.Sub(p.LastHeard) < sharePeriod {
			shares++
		}
	}
	return wharflimiter.Shares{Used: shares}
}

// reservedShares returns the number of hosts of the zone if this host is its second allocator.
func (h *Host) reservedShares() int {
	if allocators := h.gossip.Allocators(); len(allocators) < 2 || !allocators[1].Self {
		return 0
	}
	shares := 1
	for _, p := range h.gossip.Peers() {
		if p.Zone == h.settings.Zone && p.Presence == wharfgossip.Alive {
			shares++
		}
	}
	return shares
}

// admitTimeout bounds an allocator's decision on a request: pulls from other zones' allocators, and many round trips
// within a zone.
const admitTimeout = 150 * time.Millisecond

// errSuspended means that an allocator has not answered lately and is not asked.
var errSuspended = errors.New("allocator did not answer lately")

// admitAt has an allocator of the zone admit a request.
func (h *Host) admitAt(
	ctx context.Context, to wharfgossip.AllocatorHost, a wharflimiter.Admission,
) (wharflimiter.Decision, error) {
	if h.allocator.IsSuspended(to.Host) {
		return wharflimiter.Decision{}, errSuspended
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), admitTimeout)
	defer cancel()
	start := time.Now()
	decision, err := h.peerClient.Admit(ctx, to.Address, a)
	h.allocator.NoteCall(to.Host, start, err == nil)
	if err != nil {
		klog.InfoS("allocator did not admit or reject", "peer", to.Host, "organisation", a.Organisation,
			"error", err.Error())
	}
	return decision, err
}

const (
	// allocationWarmUp is the time after its start in which a host hears the loads of the other hosts of its zone and
	// does not yet allocate slots: two of their reports.
	allocationWarmUp = time.Second
	// loneWarmUp is that time if no other host of the zone can allocate slots, as after all were killed: enough to hear
	// of one that can.
	loneWarmUp = 200 * time.Millisecond
)

// allocationCapacity returns the thousandths of a core with which this host can allocate slots, or 0 if it does not
// know the endpoints and their loads yet.
func (h *Host) allocationCapacity() int {
	if h.table() == nil || !h.settings.FirstStart && !h.warmedUp() {
		return 0
	}
	return max(1, int(1000*h.settings.ProcessorShare))
}

// warmedUp reports whether this host has run for long enough to know its zone's loads.
func (h *Host) warmedUp() bool {
	uptime := time.Since(h.membership.started)
	if uptime >= allocationWarmUp || uptime < loneWarmUp {
		return uptime >= allocationWarmUp
	}
	for _, p := range h.gossip.Peers() {
		if p.Zone == h.settings.Zone && p.Presence == wharfgossip.Alive && p.Status.Capacity > 0 {
			return false
		}
	}
	return true
}

// allocatorNames returns the hosts that allocate the zone's slots, first choice first.
func (h *Host) allocatorNames() []string {
	names := []string{}
	for _, a := range h.gossip.Allocators() {
		names = append(names, a.Host)
	}
	return names
}

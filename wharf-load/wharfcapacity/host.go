package wharfcapacity

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpace"
)

const (
	// sameZoneLatency and crossZoneLatency are the one-way latencies from a host to an endpoint.
	sameZoneLatency  = 200 * time.Microsecond
	crossZoneLatency = 900 * time.Microsecond
	// batchInterval is the interval at which hosts look for free slots for batch items.
	batchInterval = 40 * time.Millisecond
)

// host simulates an entry host, which places requests according to its own view of the endpoints' load.
type host struct {
	sim            *simulation
	allocator      *wharfallocator.Allocator
	name           string
	zone           int
	fleet          *wharffleet.Fleet
	paces          *wharfpace.Paces // nil unless Options.ByCost is set
	changesPending bool
	backlog        []float64 // seconds of work of each queued batch item
	running        []*item   // running batch items
}

// item is a running batch item.
type item struct {
	endpoint  string
	inference *inference
	release   func()
}

func (s *simulation) addHost(zone, index int, endpoints []wharffleet.Endpoint) {
	h := &host{sim: s, name: fmt.Sprintf("h%d-%d", zone, index), zone: zone}
	h.fleet = wharffleet.New(h.name, zoneName(zone), h.scheduleChanges)
	if s.ByCost {
		h.weighByPace()
	}
	h.fleet.Update(endpoints)
	h.allocator = s.newAllocator(h)
	if s.Allocators && (index == 0 || index == s.Hosts-1) {
		s.clock.schedule(zoneLoadsInterval, h.sendZoneLoads)
	}
	s.hosts = append(s.hosts, h)
	s.clock.schedule(time.Duration(s.rng.Int64N(int64(s.GossipDelays.FullInterval))), h.sendFullState)
	s.clock.schedule(time.Duration(s.rng.Int64N(int64(batchInterval))), h.startItems)
}

// scheduleChanges sends this host's load changes to the other hosts after a delay, so that changes within the delay are
// sent together.
func (h *host) scheduleChanges() {
	if h.changesPending {
		return
	}
	h.changesPending = true
	delays := h.sim.GossipDelays
	h.sim.clock.schedule(delays.SameZone, func() {
		h.changesPending = false
		changes := h.fleet.Changes()
		if h.sim.Allocators {
			h.reportToAllocators(changes)
			return
		}
		var loads []wharffleet.Load
		for _, change := range changes {
			loads = append(loads, change.Load)
		}
		h.sim.result.Messages += len(h.sim.hosts) - 1
		for _, other := range h.sim.hosts {
			switch {
			case other == h:
			case other.zone == h.zone:
				other.applyChanges(h.name, loads)
			case delays.OtherZones > 0:
				h.sim.clock.schedule(max(0, delays.OtherZones-delays.SameZone),
					func() { other.applyChanges(h.name, loads) })
			}
		}
	})
}

// applyChanges applies the load changes of another host, and preempts batch items at overloaded endpoints.
func (h *host) applyChanges(name string, loads []wharffleet.Load) {
	h.fleet.ApplyChanges(name, loads)
	for _, endpoint := range h.fleet.Overcommitted() {
		h.preemptItem(endpoint)
	}
}

// sendFullState sends all loads of this host to the other hosts.
func (h *host) sendFullState() {
	loads := h.fleet.Loads()
	receivers := h.sim.hosts
	if h.sim.Allocators {
		receivers = h.sim.allocatorsOf(h.zone)
	}
	for _, other := range receivers {
		if other != h {
			h.sim.result.Messages++
			other.fleet.ReplaceLoads(h.name, loads)
		}
	}
	h.sim.clock.schedule(h.sim.GossipDelays.FullInterval, h.sendFullState)
}

// handleRequest places one online request.
func (h *host) handleRequest() {
	sim := h.sim
	arrivedAt := sim.clock.now
	placement, err := h.allocator.Acquire(context.Background(), wharfallocator.Request{Service: service, Weight: 1})
	if err != nil {
		sim.record(arrivedAt, false)
		return
	}
	r := &inference{work: sim.jitter(sim.Work), prefill: sim.Prefill.Seconds()}
	r.remaining = r.work
	var firstEvent time.Duration
	r.onFirstEvent = func() {
		firstEvent = sim.clock.now
		sim.record(arrivedAt, true)
	}
	r.onDone = func() {
		sim.recordAnswer(arrivedAt, r)
		h.learn(placement, r, firstEvent)
		placement.Release()
	}
	h.send(placement, r)
}

func (h *host) send(placement *wharffleet.Placement, r *inference) {
	latency := crossZoneLatency
	if placement.Endpoint.Zone == zoneName(h.zone) {
		latency = sameZoneLatency
	}
	h.sim.clock.schedule(latency, func() { h.sim.engines[placement.Endpoint.ID].submit(r) })
}

// preempt asks the host that YieldingHost selects to stop a batch item at an endpoint.
func (h *host) preempt(endpoint string) {
	name, found := h.fleet.YieldingHost(endpoint)
	if !found || strings.HasPrefix(name, zonePrefix) {
		return
	}
	index := slices.IndexFunc(h.sim.hosts, func(other *host) bool { return other.name == name })
	h.sim.clock.schedule(crossZoneLatency, func() { h.sim.hosts[index].preemptItem(endpoint) })
}

// preemptItem stops a batch item at an endpoint and queues its remaining work, plus another prefill.
func (h *host) preemptItem(endpoint string) {
	index := slices.IndexFunc(h.running, func(i *item) bool { return i.endpoint == endpoint })
	if index < 0 {
		return
	}
	i := h.running[index]
	h.running = slices.Delete(h.running, index, index+1)
	h.sim.result.BatchPreempted++
	h.sim.engines[endpoint].cancel(i.inference)
	h.backlog = append(h.backlog, max(0, i.inference.remaining)+h.sim.Prefill.Seconds())
	i.release()
}

// startItems places batch items in this host's share of the free slots.
func (h *host) startItems() {
	sim := h.sim
	quota := max(1, h.fleet.FreeSlots(service)/len(sim.hosts))
	if h.allocator.Exact() {
		quota = len(h.backlog)
	}
	for ; quota > 0 && len(h.backlog) > 0; quota-- {
		placement, err := h.allocator.Acquire(context.Background(), wharfallocator.Request{Service: service, Batch: true})
		if err != nil {
			break
		}
		work := h.backlog[0]
		h.backlog = h.backlog[1:]
		i := &item{endpoint: placement.Endpoint.ID, release: placement.Release}
		i.inference = &inference{
			work: work, remaining: work, prefill: sim.Prefill.Seconds(),
		}
		var firstEvent time.Duration
		i.inference.onFirstEvent = func() { firstEvent = sim.clock.now }
		i.inference.onDone = func() {
			h.learn(placement, i.inference, firstEvent)
			h.finishItem(i)
		}
		h.running = append(h.running, i)
		h.send(placement, i.inference)
	}
	sim.clock.schedule(batchInterval, h.startItems)
}

func (h *host) finishItem(i *item) {
	h.sim.result.BatchCompleted++
	h.running = slices.DeleteFunc(h.running, func(other *item) bool { return other == i })
	i.release()
}

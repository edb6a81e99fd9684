package wharfcapacity

import (
	"fmt"
	"slices"
	"time"

	"wagtailwharf.example/wharf/state/wharffleet"
)

const (
	// nearPath and farPath are the times from a host to an endpoint of its own and of another zone.
	nearPath = 200 * time.Microsecond
	farPath  = 900 * time.Microsecond
	// batchTick is the time between two looks for free slots for batch items.
	batchTick = 40 * time.Millisecond
)

// host places requests by its own view of the endpoints.
type host struct {
	model   *model
	name    string
	zone    int
	fleet   *wharffleet.Fleet
	touched bool
	backlog []float64 // seconds of work of batch items
	items   []*item   // that run
}

type item struct {
	endpoint string
	run      *run
	release  func()
}

func (m *model) addHost(zone, index int, list []wharffleet.Endpoint) {
	h := &host{model: m, name: fmt.Sprintf("h%d-%d", zone, index), zone: zone}
	h.fleet = wharffleet.New(h.name, zoneName(zone), h.touch)
	h.fleet.Update(list)
	m.hosts = append(m.hosts, h)
	m.clock.after(time.Duration(m.random.Int64N(int64(m.GossipDelays.FullInterval))), h.tellWhole)
	m.clock.after(time.Duration(m.random.Int64N(int64(batchTick))), h.startItems)
}

// touch has changes told once they have waited for others.
func (h *host) touch() {
	if h.touched {
		return
	}
	h.touched = true
	views := h.model.GossipDelays
	h.model.clock.after(views.SameZone, func() {
		h.touched = false
		var loads []wharffleet.Load
		for _, change := range h.fleet.Changes() {
			loads = append(loads, change.Load)
		}
		for _, other := range h.model.hosts {
			switch {
			case other == h:
			case other.zone == h.zone:
				other.receive(h.name, loads)
			case views.OtherZones > 0:
				h.model.clock.after(max(0, views.OtherZones-views.SameZone), func() { other.receive(h.name, loads) })
			}
		}
	})
}

// receive takes over changes of another host, and stops items where too many run.
func (h *host) receive(name string, loads []wharffleet.Load) {
	h.fleet.ApplyChanges(name, loads)
	for _, endpoint := range h.fleet.Overcommitted() {
		h.stop(endpoint)
	}
}

// tellWhole tells all hosts what runs for this one.
func (h *host) tellWhole() {
	loads := h.fleet.Loads()
	for _, other := range h.model.hosts {
		if other != h {
			other.fleet.ReplaceLoads(h.name, loads)
		}
	}
	h.model.clock.after(h.model.GossipDelays.FullInterval, h.tellWhole)
}

// online places one request of a caller.
func (h *host) online() {
	m := h.model
	came := m.clock.now
	placement, err := h.fleet.Pick(wharffleet.Request{Service: service})
	if err != nil {
		m.count(came, false)
		return
	}
	if placement.NeedsPreemption {
		h.yield(placement.Endpoint.ID)
	}
	r := &run{work: m.vary(m.Work), prefill: m.Prefill.Seconds(), first: func() { m.count(came, true) }, done: placement.Release}
	r.left = r.work
	h.send(placement, r)
}

func (h *host) send(placement *wharffleet.Placement, r *run) {
	path := farPath
	if placement.Endpoint.Zone == zoneName(h.zone) {
		path = nearPath
	}
	h.model.clock.after(path, func() { h.model.engines[placement.Endpoint.ID].arrive(r) })
}

// yield has a batch item at an endpoint stopped by the host that is to do so.
func (h *host) yield(endpoint string) {
	name, found := h.fleet.YieldingHost(endpoint)
	if !found {
		return
	}
	index := slices.IndexFunc(h.model.hosts, func(other *host) bool { return other.name == name })
	h.model.clock.after(farPath, func() { h.model.hosts[index].stop(endpoint) })
}

// stop ends a batch item at an endpoint, which goes on later with what is left.
func (h *host) stop(endpoint string) {
	index := slices.IndexFunc(h.items, func(i *item) bool { return i.endpoint == endpoint })
	if index < 0 {
		return
	}
	i := h.items[index]
	h.items = slices.Delete(h.items, index, index+1)
	h.model.result.BatchPreempted++
	h.model.engines[endpoint].cancel(i.run)
	h.backlog = append(h.backlog, max(0, i.run.left)+h.model.Prefill.Seconds())
	i.release()
}

// startItems places batch items in free slots, this host's part of them at a time.
func (h *host) startItems() {
	m := h.model
	part := max(1, h.fleet.FreeSlots(service)/len(m.hosts))
	for ; part > 0 && len(h.backlog) > 0; part-- {
		placement, err := h.fleet.Pick(wharffleet.Request{Service: service, Batch: true})
		if err != nil {
			break
		}
		work := h.backlog[0]
		h.backlog = h.backlog[1:]
		i := &item{endpoint: placement.Endpoint.ID, release: placement.Release}
		i.run = &run{work: work, left: work, prefill: m.Prefill.Seconds(), first: func() {}, done: func() { h.finish(i) }}
		h.items = append(h.items, i)
		h.send(placement, i.run)
	}
	m.clock.after(batchTick, h.startItems)
}

func (h *host) finish(i *item) {
	h.model.result.BatchCompleted++
	h.items = slices.DeleteFunc(h.items, func(other *item) bool { return other == i })
	i.release()
}

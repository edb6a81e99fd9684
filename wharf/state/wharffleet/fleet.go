package wharffleet

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// farWeight makes endpoints of other zones less likely, since bytes between zones cost more than a slightly fuller
	// engine.
	farWeight = 0.3
	// largeZone is the number of slots of a zone from which its own endpoints are nearly always enough: bursts of many
	// callers even out, and hosts of other zones tell their loads less often in large fleets. Other zones' endpoints are
	// left alone then, until less than crowdedShare of the slots is free of online requests.
	largeZone    = 100
	crowdedShare = 0.12
	// roomPower is the power of an endpoint's free slots by which it is more likely to be chosen: more than 1, so that
	// loads even out, and not so much that all hosts choose the emptiest.
	roomPower = 2.0
	// warmWeight makes an endpoint more likely to which a connection is open: a new one costs a round trip and time at the
	// endpoint, and hosts with different connections choose the same free slot less often. It outweighs two more free
	// slots of eight, not three.
	warmWeight = 2.0
	// silentWeight makes an endpoint less likely at which a request of this host waits for long, or that has just broken off
	// requests while this one has no attempt left after it.
	silentWeight = 0.05
	// quietParts is the part of its slots, as a fraction's divisor, below which an endpoint's online load is light.
	quietParts = 4
	// overfullAfter is how long an endpoint's slots may be exceeded before hosts stop batch items unasked: as long as
	// reports and requests to stop take.
	overfullAfter = 150 * time.Millisecond
)

// Fleet holds the endpoints and chooses among them; it is safe for concurrent use.
type Fleet struct {
	host     string
	zone     string
	mu       sync.Mutex
	entries  map[string]*entry
	services map[string]*service
	reported map[string]map[string]Load // host → endpoint → what it runs there, also at endpoints that are not known yet
	used     map[string]*entry          // registered endpoints at which this host runs something
	dirty    map[string]bool            // endpoints at which this host's load has changed since the last Changes
	changed  func()
	warm     func(address netip.AddrPort) bool
	position float64 // of this host among those of its zone, from 0 to below 1
	hosts    int     // of its zone
}

// New returns an empty fleet as seen from a host in a zone; changed is called when this host's load changes.
func New(host, zone string, changed func()) *Fleet {
	return &Fleet{
		host:     host,
		zone:     zone,
		entries:  map[string]*entry{},
		services: map[string]*service{},
		reported: map[string]map[string]Load{},
		used:     map[string]*entry{},
		dirty:    map[string]bool{},
		changed:  changed,
		warm:     func(netip.AddrPort) bool { return false },
		hosts:    1,
	}
}

// PreferConnected has endpoints chosen more often to which warm says that a connection is open; it is called before the first
// choice.
func (f *Fleet) PreferConnected(warm func(address netip.AddrPort) bool) {
	f.warm = warm
}

// Update takes over the registered endpoints; those that are not among them get no more requests.
func (f *Fleet) Update(endpoints []Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := make(map[string]*entry, len(endpoints))
	services := map[string]*service{}
	for _, e := range endpoints {
		known := f.entries[e.ID]
		if known == nil || known.Address != e.Address || !known.Born.Equal(e.Born) {
			known = f.fresh(e)
		}
		known.Endpoint = e
		entries[e.ID] = known
		if services[e.Service] == nil {
			services[e.Service] = &service{}
		}
		services[e.Service].add(known, e.Zone == f.zone)
	}
	for _, s := range services {
		s.order()
	}
	f.entries = entries
	f.services = services
	for id, e := range f.used {
		if entries[id] != e {
			delete(f.used, id)
		}
	}
}

func (f *Fleet) fresh(e Endpoint) *entry {
	added := &entry{Endpoint: e, own: Load{Endpoint: e.ID}, mark: xxhash.Sum64String(e.ID)}
	for _, loads := range f.reported {
		added.online += loads[e.ID].Online
		added.batch += loads[e.ID].Batch
	}
	return added
}

// Release ends a request's place.
func (p *Placement) Release() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	p.doubt(false)
	p.entry.trial = false
	p.fleet.count(p.entry, p.batch, -1)
}

// SetStalled says whether the endpoint has been silent for long on this request; it gets fewer requests meanwhile.
func (p *Placement) SetStalled(silent bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if !p.done {
		p.doubt(silent)
	}
}

func (p *Placement) doubt(silent bool) {
	if silent == p.silent {
		return
	}
	p.silent = silent
	if silent {
		p.entry.silent++
		return
	}
	p.entry.silent--
}

// ReplaceLoads takes over what another host runs.
func (f *Fleet) ReplaceLoads(host string, loads []Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(host)
	f.learn(host, loads)
}

// ApplyChanges takes over what has changed in what another host runs. It returns the endpoints that get no requests for a
// while because of it.
func (f *Fleet) ApplyChanges(host string, loads []Load) []Ejection {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(host, loads)
	return f.hear(loads)
}

func (f *Fleet) learn(host string, loads []Load) {
	known := f.reported[host]
	if known == nil {
		known = make(map[string]Load, len(loads))
		f.reported[host] = known
	}
	for _, load := range loads {
		before := known[load.Endpoint]
		if e := f.entries[load.Endpoint]; e != nil {
			load.Endpoint = e.ID // one copy of the text for all hosts
			load.Faults, load.Served = 0, 0
			e.online += load.Online - before.Online
			e.batch += load.Batch - before.Batch
		}
		if load.Online == 0 && load.Batch == 0 {
			delete(known, load.Endpoint)
			continue
		}
		known[load.Endpoint] = load
	}
}

// Forget drops what a host that has ended was running.
func (f *Fleet) Forget(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(host)
}

func (f *Fleet) forget(host string) {
	for id, load := range f.reported[host] {
		if e := f.entries[id]; e != nil {
			e.online -= load.Online
			e.batch -= load.Batch
		}
	}
	delete(f.reported, host)
}

// count changes this host's load; the lock is held.
func (f *Fleet) count(e *entry, batch bool, change int) {
	e.count(batch, change)
	if f.entries[e.ID] == e {
		f.used[e.ID] = e
		if e.own.Online == 0 && e.own.Batch == 0 {
			delete(f.used, e.ID)
			e.over = time.Time{}
		}
	}
	f.dirty[e.ID] = true
	f.changed()
}

// Changes returns what this host runs where that has changed since the last call.
func (f *Fleet) Changes() []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := make([]Change, 0, len(f.dirty))
	for id := range f.dirty {
		if e := f.entries[id]; e != nil {
			changes = append(changes, Change{Load: e.own, Zone: e.Zone, OutsideSubset: f.wide(e)})
			e.own.Faults, e.own.Served = 0, 0
		}
	}
	clear(f.dirty)
	return changes
}

// Loads returns what this host runs.
func (f *Fleet) Loads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make([]Load, 0, len(f.used))
	for _, e := range f.used {
		load := e.own
		load.Faults, load.Served = 0, 0
		loads = append(loads, load)
	}
	return loads
}

// FreeSlots returns the slots of a service that nobody uses, over all endpoints that work.
func (f *Fleet) FreeSlots(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	room := 0
	for e := range f.services[service].all() {
		if !e.Leaving && e.usable(false, now) {
			room += max(0, e.Slots-e.online-e.batch)
		}
	}
	return room
}

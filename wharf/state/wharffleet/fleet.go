package wharffleet

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfcold"
	"wagtailwharf.example/wharf/state/wharfevacuation"
	"wagtailwharf.example/wharf/state/wharfregion"
)

const (
	// farWeight is the weight factor of endpoints in other zones: traffic between zones costs more than a slightly
	// fuller engine.
	farWeight = 0.3
	// largeZoneSlots is the number of slots from which a zone's own endpoints are nearly always enough, because the
	// bursts of many callers average out. Hosts of other zones also report their loads less often in large fleets.
	// Endpoints of other zones are then used only while less than minFreeShare of the slots is free of online requests.
	largeZoneSlots = 100
	minFreeShare   = 0.12
	// freeSlotsExponent is the exponent applied to an endpoint's free slots to get its weight: above 1 so that loads
	// even out, but low enough that hosts do not all choose the emptiest endpoint.
	freeSlotsExponent = 2.0
	// connectedWeight is the weight factor of an endpoint with an open connection: a new connection costs a round trip
	// and time at the endpoint, and hosts with different connections choose the same free slot less often. With eight
	// slots, it outweighs two more free slots but not three.
	connectedWeight = 2.0
	// stalledWeight is the weight factor of an endpoint on which a request of any host has stalled, or that has
	// recently failed requests when the request to place is on its last attempt.
	stalledWeight = 0.05
	// lightLoadDivisor defines a light online load: less than 1/lightLoadDivisor of the endpoint's slots.
	lightLoadDivisor = 4
	// overcommitGrace is how long an endpoint may be overcommitted before hosts stop batch items unasked: the time that
	// load reports and yield requests take.
	overcommitGrace = 150 * time.Millisecond
)

// Fleet tracks the endpoints and their load and picks among them. It is safe for concurrent use.
type Fleet struct {
	host      string
	zone      string
	mu        sync.Mutex
	entries   map[string]*entry
	services  map[string]*service
	peers     map[string]*peer
	used      map[string]*entry // registered endpoints with requests of this host
	dirty     map[string]bool   // endpoints whose load from this host changed since the last call of Changes
	changed   func()
	connected func(address netip.AddrPort) bool
	admits    func(e *Endpoint, now time.Time) bool // whether streams may begin there
	random    func() float64                        // uniform in [0, 1)
	// announcements outlive the entries, whose registrations may lapse.
	announcements    map[incarnation]*announcement
	lastSilenceCheck time.Time
	position         float64 // of this host among the hosts of its zone, in [0, 1)
	hosts            int     // number of hosts in the zone
	regions          wharfregion.Map
	cold             coldness
	evacuations      *wharfevacuation.Set
	current          func() bool // whether evacuations are those in force
	// factor multiplies the weights of endpoints; see WeighEndpoints.
	factor func(e *Endpoint, now time.Time) float64
}

// New returns an empty fleet for a host in a zone. changed is called, with the fleet's lock held, when this host's load
// changes.
func New(host, zone string, changed func()) *Fleet {
	return &Fleet{
		host:          host,
		zone:          zone,
		entries:       map[string]*entry{},
		services:      map[string]*service{},
		peers:         map[string]*peer{},
		used:          map[string]*entry{},
		dirty:         map[string]bool{},
		changed:       changed,
		connected:     func(netip.AddrPort) bool { return false },
		admits:        func(*Endpoint, time.Time) bool { return true },
		current:       func() bool { return true },
		random:        rand.Float64,
		announcements: map[incarnation]*announcement{},
		hosts:         1,
		factor:        func(*Endpoint, time.Time) float64 { return 1 },
		cold:          coldness{sender: wharfcold.New(host), report: func(ColdChange) {}},
	}
}

// PreferConnected makes Pick favour endpoints for which connected reports an open connection. It must be called before
// the first Pick.
func (f *Fleet) PreferConnected(connected func(address netip.AddrPort) bool) {
	f.connected = connected
}

// RestrictNewRequests keeps online requests that do not continue a stream from endpoints for which admits reports false. It
// must be called before the first Pick.
func (f *Fleet) RestrictNewRequests(admits func(e *Endpoint, now time.Time) bool) {
	f.admits = admits
}

// SetRegions sets the regions of the zones, for requests that are limited to some. It must be called before the first Pick.
func (f *Fleet) SetRegions(regions wharfregion.Map) {
	f.regions = regions
}

// Update replaces the registered endpoints. Endpoints that are no longer registered get no more requests.
func (f *Fleet) Update(endpoints []Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := make(map[string]*entry, len(endpoints))
	services := map[string]*service{}
	for _, e := range endpoints {
		known := f.entries[e.ID]
		if known == nil || known.Address != e.Address || !known.Born.Equal(e.Born) {
			added := f.newEntry(e)
			if known != nil {
				added.restartSuspectedAt, added.restartCause, added.notedCold = known.restartSuspectedAt, known.restartCause, known.notedCold
			}
			known = added
		}
		known.Endpoint = e
		entries[e.ID] = known
		if services[e.Service] == nil {
			services[e.Service] = &service{}
		}
		services[e.Service].add(known, e.Zone == f.zone)
	}
	for _, s := range services {
		s.sortRings()
	}
	f.entries = entries
	f.services = services
	f.removeOldAnnouncements(time.Now())
	f.noteColdness(time.Now())
	for id, e := range f.used {
		if entries[id] != e {
			delete(f.used, id)
		}
	}
}

// newEntry returns an entry with the loads that peers have already reported for the endpoint.
func (f *Fleet) newEntry(e Endpoint) *entry {
	added := &entry{
		Endpoint: e, own: Load{Endpoint: e.ID}, hash: xxhash.Sum64String(e.ID), announcement: f.announcementOf(e),
	}
	for _, p := range f.peers {
		p.addTo(added, 1)
	}
	return added
}

// Release frees the request's slot. Calls after the first have no effect.
func (p *Placement) Release() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	p.setStalled(false)
	p.endProbe()
	p.fleet.addLoad(p.entry, p.batch, -1)
}

// Registered reports whether the endpoint is still registered as it was when the request was placed.
func (p *Placement) Registered() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.entries[p.Endpoint.ID] == p.entry && p.entry.Version == p.Endpoint.Version
}

// endProbe lets another request probe the endpoint if this one did.
func (p *Placement) endProbe() {
	if p.probe {
		p.probe, p.entry.probingSince = false, time.Time{}
	}
}

// SetStalled records whether the request has waited too long for the endpoint. A stalled endpoint gets fewer requests.
func (p *Placement) SetStalled(stalled bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if !p.released {
		p.setStalled(stalled)
	}
}

func (p *Placement) setStalled(stalled bool) {
	if stalled == p.stalled {
		return
	}
	p.stalled = stalled
	change := 1
	if !stalled {
		change = -1
	}
	p.entry.own.Stalled += change
	p.entry.stalled += change
	p.fleet.dirty[p.entry.ID] = true
	p.fleet.changed()
}

// addLoad changes this host's load on an endpoint. The caller holds the lock.
func (f *Fleet) addLoad(e *entry, batch bool, change int) {
	e.addLoad(batch, change)
	if change > 0 {
		e.announcement.sent++
		e.announcement.take(1, time.Now())
		f.noteSent(e, time.Now())
	}
	if f.entries[e.ID] == e {
		f.used[e.ID] = e
		if e.own.Online == 0 && e.own.Batch == 0 {
			delete(f.used, e.ID)
			e.overcommittedSince = time.Time{}
		}
	}
	f.dirty[e.ID] = true
	f.changed()
}

// Changes returns this host's load on each endpoint where it changed since the last call, and resets the counts of
// faults and served requests.
func (f *Fleet) Changes() []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, now := make([]Change, 0, len(f.dirty)), time.Now()
	for id := range f.dirty {
		if e := f.entries[id]; e != nil {
			changes = append(changes, Change{Load: e.announcement.report(e.own, now), Zone: e.Zone})
			e.own.Faults, e.own.Served = 0, 0
		}
	}
	clear(f.dirty)
	return changes
}

// Loads returns this host's load on every endpoint that it uses, without counts of faults and served requests.
func (f *Fleet) Loads() []Load {
	return f.loads(func(*entry) bool { return true })
}

// LoadsIn returns this host's load on every endpoint that it uses in a zone, as Loads does.
func (f *Fleet) LoadsIn(zone string) []Load {
	return f.loads(func(e *entry) bool { return e.Zone == zone })
}

func (f *Fleet) loads(wanted func(*entry) bool) []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads, now := make([]Load, 0, len(f.used)), time.Now()
	for _, e := range f.used {
		if !wanted(e) {
			continue
		}
		load := e.announcement.report(e.own, now)
		load.Faults, load.Served = 0, 0
		loads = append(loads, load)
	}
	return loads
}

// FreeSlots returns the number of free slots over all endpoints of a service that are available and take requests.
func (f *Fleet) FreeSlots(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.checkSilence(now)
	free := 0
	for e := range f.services[service].all() {
		if f.takesRequests(e) && e.available(false, now) && e.announcement.accepts(now) {
			free += f.sendable(e, max(0, e.Slots-e.online-e.batch), now)
		}
	}
	return free
}

// Serves reports whether there is an endpoint of a service and version that takes requests.
func (f *Fleet) Serves(origin wharfcall.Origin) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for e := range f.services[origin.Service].all() {
		if e.Version == origin.Version && f.takesRequests(e) {
			return true
		}
	}
	return false
}

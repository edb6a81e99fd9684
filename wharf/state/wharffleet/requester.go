package wharffleet

import (
	"slices"
	"time"
)

// Requester is what a host tells about itself when another host places its request.
type Requester struct {
	Host        string
	Position    float64  // in the rings of endpoints, see Fleet.SetPosition
	Connected   []string // IDs of endpoints to which it has an open connection
	Unavailable []string // IDs of endpoints that it has ejected, or of a zone that it knows to be evacuated
	Cold        []string // IDs of cold endpoints that it may send a request now
	ColdFull    []string // IDs of cold endpoints that get no more of its requests at present
}

// position returns where the requester starts in the rings of endpoints.
func (r *Request) position(f *Fleet) float64 {
	if r.Requester != nil {
		return r.Requester.Position
	}
	return f.position
}

func (r *Request) connected(f *Fleet, e *entry) bool {
	if r.Requester != nil {
		return slices.Contains(r.Requester.Connected, e.ID)
	}
	return f.connected(e.Address)
}

// avoids reports whether the request is not to be sent to an endpoint.
func (r *Request) avoids(id string) bool {
	return r.Avoid[id] || r.Requester != nil && slices.Contains(r.Requester.Unavailable, id)
}

// Requester describes this host for a request of a service that another host places.
func (f *Fleet) Requester(service string) *Requester {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Requester{Host: f.host, Position: f.position}
	s := f.services[service]
	if s == nil {
		return r
	}
	now := time.Now()
	subset := f.subsetSize(len(s.near))
	for i, e := range from(s.near, f.position) {
		if i >= subset {
			break
		}
		if f.evacuations.Includes(e.Zone) {
			r.Unavailable = append(r.Unavailable, e.ID) // an allocator of an older build does not know of evacuations
			continue
		}
		if f.connected(e.Address) {
			r.Connected = append(r.Connected, e.ID)
		}
		if e.unreachable || e.ejectedUntil.After(now) {
			r.Unavailable = append(r.Unavailable, e.ID)
		}
	}
	if f.cold.limits[service] > 0 {
		f.addCold(r, s, now)
	}
	return r
}

// addCold adds the cold endpoints of a service to a requester's description.
func (f *Fleet) addCold(r *Requester, s *service, now time.Time) {
	for e := range s.all() {
		switch {
		case !f.isCold(e, now):
		case f.coldRoom(e, now) > 0:
			r.Cold = append(r.Cold, e.ID)
		default:
			r.ColdFull = append(r.ColdFull, e.ID)
		}
	}
}

// Adopt places a request of this host on the endpoint that another host has chosen. It reports false if this host knows
// the endpoint as one that takes no requests, as one of another version or region than the request needs, as cold and without
// room for this host, or not at all.
func (f *Fleet) Adopt(id string, r Request, suspect bool) (*Placement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[id]
	// A host of an older build does not know that the request needs a version, or a region.
	if e == nil || !f.takesRequests(e) || !f.regions.Allows(e.Zone, r.Regions) || r.Version != "" && e.Version != r.Version ||
		!r.Batch && r.Version == "" && !f.admits(&e.Endpoint, time.Now()) {
		return nil, false
	}
	if now := time.Now(); f.isCold(e, now) && f.coldRoom(e, now) == 0 {
		f.cold.kept++
		return nil, false
	}
	p := &Placement{Endpoint: e.Endpoint, fleet: f, entry: e, batch: r.Batch, Suspect: suspect}
	if !e.ejectedUntil.IsZero() {
		p.probe, e.probingSince = true, time.Now()
	}
	f.addLoad(e, r.Batch, 1)
	return p, true
}

// ZoneLoads returns the load on each endpoint of this host's zone, without that of the excluded hosts, in a fixed order.
func (f *Fleet) ZoneLoads(excluded func(host string) bool) []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkSilence(time.Now())
	var skipped []map[string]Load
	for host, p := range f.peers {
		if excluded(host) {
			skipped = append(skipped, p.loads)
		}
	}
	loads := []Load{}
	for _, e := range f.nearEntries() {
		load := Load{Endpoint: e.ID, Online: e.online, Batch: e.batch}
		for _, other := range skipped {
			load.Online -= other[e.ID].Online
			load.Batch -= other[e.ID].Batch
		}
		if load.Online > 0 || load.Batch > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}

// FreeSlotsElsewhere returns the number of free slots of a service in each other zone of the regions, nil for all, that has
// any, with those of batch items if they count as free.
func (f *Fleet) FreeSlotsElsewhere(service string, countBatch bool, regions []string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := map[string]int{}
	s := f.services[service]
	if s == nil {
		return free
	}
	now := time.Now()
	f.checkSilence(now)
	for _, e := range s.far {
		slots := e.onlineCapacity()
		if !countBatch {
			slots = e.Slots - e.online - e.batch
		}
		// Hosts of other zones hold no share of a cold endpoint.
		if slots > 0 && f.takesRequests(e) && f.regions.Allows(e.Zone, regions) && e.available(false, now) &&
			e.announcement.accepts(now) && !f.isCold(e, now) {
			free[e.Zone] += slots
		}
	}
	return free
}

// nearEntries returns the endpoints of this host's zone in a fixed order.
func (f *Fleet) nearEntries() []*entry {
	var near []*entry
	for _, s := range f.services {
		near = append(near, s.near...)
	}
	slices.SortFunc(near, func(a, b *entry) int { return compareRing(a, b) })
	return near
}

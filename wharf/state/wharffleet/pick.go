package wharffleet

import (
	"math"
	"slices"
	"time"

	"wagtailwharf.example/wharf/state/wharfpick"
)

// Request holds the properties of a request that Pick depends on.
type Request struct {
	Service     string
	Version     string          // of the endpoint's software, "" for any; set for a stream that continues
	Avoid       map[string]bool // IDs of endpoints that have failed this request
	Batch       bool
	LastAttempt bool // no attempt is left after this one
	// Reserve is the number of slots per endpoint that a batch item leaves free, in addition to those reserved for
	// online requests.
	Reserve int
	// NearOnly excludes the endpoints of other zones, and FreeOnly slots that are held by batch items.
	NearOnly bool
	FreeOnly bool
	// Regions are those in which the request may run, nil for all.
	Regions []string
	// Requester is the host whose request it is, nil for this host.
	Requester *Requester
}

// Pick places a request. It returns wharfpick.ErrAllFull if every available endpoint is full, and
// wharfpick.ErrNoEndpoint if none is available, and wharfpick.ErrAllCold if all available ones are cold and get no more
// requests at present.
func (f *Fleet) Pick(r Request) (*Placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.checkSilence(now)
	best, err := f.choose(r, now)
	if best == nil && r.LastAttempt {
		r.LastAttempt = false // a probe of an ejected endpoint is better than no attempt
		best, err = f.choose(r, now)
	}
	if best == nil {
		return nil, err
	}
	p := &Placement{
		Endpoint: best.Endpoint, fleet: f, entry: best, batch: r.Batch, Online: best.online, Batch: best.batch,
	}
	p.Suspect = best.suspect(now)
	p.NeedsPreemption = !r.Batch && best.batch > best.unstoppable && best.online+best.batch >= best.Slots
	if !best.ejectedUntil.IsZero() {
		p.probe, best.probingSince = r.Requester == nil, now
	}
	if r.Requester != nil {
		p.released = true // the requester's host releases the slot
		f.addPeerLoad(r.Requester.Host, best, r.Batch)
		return p, nil
	}
	f.addLoad(best, r.Batch, 1)
	return p, nil
}

// selection is the state of one weighted random choice among endpoints; free slots increase an endpoint's weight. The
// choice is random because with stale loads all hosts would choose the endpoint that looks best at once (Mitzenmacher
// 2000, How useful is old information?).
type selection struct {
	Request
	now            time.Time
	totalWeight    float64
	hasFree        bool // some endpoint has a free slot, which is preferred to preempting a batch item
	totalSlots     int  // of all available endpoints considered so far
	freeSlots      int  // of totalSlots
	nonOnlineSlots int  // of totalSlots, those that an online request can have
	anyAvailable   bool // some endpoint is available and not avoided
	anyWarm        bool // one of those is warm
	keptFromCold   bool // some cold endpoint has a free slot, but gets no more requests at present
	limitsCold     bool // cold endpoints of the service have a limit
	chosen         *entry
}

// choose picks an endpoint at random by weight. If it finds none, it returns the reason as an error.
func (f *Fleet) choose(r Request, now time.Time) (*entry, error) {
	s := f.services[r.Service]
	if s == nil {
		return nil, wharfpick.ErrNoEndpoint
	}
	sel := selection{Request: r, now: now, limitsCold: f.cold.limits[r.Service] > 0}
	f.addRing(&sel, s.near, 1)
	if !r.NearOnly && (!sel.nearSuffices() || !sel.hasFree) {
		f.addRing(&sel, s.far, farWeight)
	}
	if sel.keptFromCold {
		f.cold.kept++
	}
	switch {
	case sel.chosen != nil:
		return sel.chosen, nil
	case sel.keptFromCold && !sel.anyWarm && sel.Version == "": // a stream that continues waits rather than being cut
		return nil, wharfpick.ErrAllCold
	case sel.anyAvailable:
		return nil, wharfpick.ErrAllFull
	}
	return nil, wharfpick.ErrNoEndpoint
}

// addRing adds the endpoints of a ring to the selection, starting at this host's position: first its subset, and then
// more while less than minFreeShare of their slots is free.
func (f *Fleet) addRing(sel *selection, ring []*entry, factor float64) {
	subset := f.subsetSize(len(ring))
	for i, e := range from(ring, sel.position(f)) {
		if i >= subset && sel.hasFree && float64(sel.freeSlots) >= minFreeShare*float64(sel.totalSlots) {
			return
		}
		if !sel.mayUse(f, e) {
			continue
		}
		if !sel.mayRunAt(f, e) {
			sel.anyAvailable = sel.anyAvailable || !sel.avoids(e.ID)
			continue
		}
		sel.totalSlots += e.Slots
		cold := sel.isCold(f, e)
		sel.anyWarm = sel.anyWarm || !cold && !sel.avoids(e.ID)
		if !e.announcement.accepts(sel.now) || cold && sel.keepsFrom(f, e) {
			sel.anyAvailable = sel.anyAvailable || !sel.avoids(e.ID)
			continue
		}
		sel.freeSlots += max(0, e.Slots-e.online-e.batch)
		sel.nonOnlineSlots += max(0, e.onlineCapacity())
		if sel.avoids(e.ID) {
			continue
		}
		sel.anyAvailable = true
		sel.add(f, e, factor*coldFactor(cold))
	}
}

// mayUse reports whether an endpoint takes requests, has the version and region that the request needs, and is available.
func (sel *selection) mayUse(f *Fleet, e *entry) bool {
	return f.takesRequests(e) && f.regions.Allows(e.Zone, sel.Regions) && (sel.Version == "" || e.Version == sel.Version) &&
		e.available(sel.LastAttempt, sel.now)
}

// isCold reports whether an endpoint counts as cold for this host, or for the requester.
func (sel *selection) isCold(f *Fleet, e *entry) bool {
	return sel.limitsCold && f.isCold(e, sel.now) ||
		sel.Requester != nil && (slices.Contains(sel.Requester.ColdFull, e.ID) || slices.Contains(sel.Requester.Cold, e.ID))
}

// keepsFrom reports whether a cold endpoint gets no more requests of the sender at present, and notes it.
func (sel *selection) keepsFrom(f *Fleet, e *entry) bool {
	if f.coldRoomFor(&sel.Request, e, sel.now) > 0 {
		return false
	}
	sel.keptFromCold = sel.keptFromCold || e.Slots > e.online+e.batch && !sel.avoids(e.ID)
	return true
}

// mayRunAt reports whether the request may run at the endpoint's version.
func (sel *selection) mayRunAt(f *Fleet, e *entry) bool {
	return sel.Batch || sel.Version != "" || f.admits(&e.Endpoint, sel.now)
}

// add adds an endpoint to the selection, and chooses it with a probability in proportion to its weight.
func (sel *selection) add(f *Fleet, e *entry, factor float64) {
	weight, hasFree := e.weight(sel.Request)
	if weight <= 0 || (sel.hasFree && !hasFree) {
		return
	}
	if sel.connected(f, e) {
		weight *= connectedWeight
	}
	if hasFree && !sel.hasFree {
		sel.hasFree, sel.totalWeight, sel.chosen = true, 0, nil
	}
	if sel.LastAttempt && e.suspect(sel.now) {
		weight *= stalledWeight
	}
	if sel.Batch && e.announcement.rate >= 0 {
		weight *= limitedBatchWeight
	}
	weight *= factor * f.factor(&e.Endpoint, sel.now)
	sel.totalWeight += weight
	if f.random()*sel.totalWeight < weight {
		sel.chosen = e
	}
}

// nearSuffices reports whether the endpoints of this zone are enough: they are many, and enough of their slots are free
// of online requests.
func (sel *selection) nearSuffices() bool {
	return sel.totalSlots >= largeZoneSlots && float64(sel.nonOnlineSlots) >= minFreeShare*float64(sel.totalSlots)
}

// weight returns the selection weight of the endpoint, 0 for never, and whether it has a free slot.
func (e *entry) weight(r Request) (weight float64, hasFree bool) {
	free := e.Slots - e.online - e.batch
	if r.Batch {
		free -= r.Reserve + e.reservedSlots()
	}
	hasFree = free > 0 && e.stalled == 0
	if !hasFree {
		if r.Batch || r.FreeOnly {
			return 0, false
		}
		free = e.onlineCapacity()
	}
	if free <= 0 {
		return 0, false
	}
	weight = math.Pow(float64(free), freeSlotsExponent)
	if e.stalled > 0 {
		weight *= stalledWeight
	}
	return weight, hasFree
}

// reservedSlots returns the number of slots that batch items leave free for the next online request. It is one while
// online requests come often enough for two hosts to choose the same slot; under a light load, preempting an item is
// fast enough.
func (e *entry) reservedSlots() int {
	if e.online*lightLoadDivisor < e.Slots {
		return 0
	}
	return 1
}

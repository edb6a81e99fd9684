package wharffleet

import (
	"math"
	"math/rand/v2"
	"time"

	"wagtailwharf.example/wharf/state/wharfpick"
)

// Request is what a choice depends on.
type Request struct {
	Service     string
	Avoid       map[string]bool // endpoints that have failed this request
	Batch       bool
	LastAttempt bool // it has no attempt left after this one
	// Reserve is the number of slots of each endpoint that a batch item leaves free beside those for online requests.
	Reserve int
}

// Pick places a request; errors are wharfpick.ErrNone and wharfpick.ErrFull.
func (f *Fleet) Pick(r Request) (*Placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	best, full := f.best(r, now)
	if best == nil && r.LastAttempt {
		r.LastAttempt = false // an endpoint that has failed is better than none
		best, full = f.best(r, now)
	}
	if best == nil {
		if full {
			return nil, wharfpick.ErrAllFull
		}
		return nil, wharfpick.ErrNoEndpoint
	}
	p := &Placement{Endpoint: best.Endpoint, fleet: f, entry: best, batch: r.Batch, Online: best.online, Batch: best.batch}
	p.Suspect = best.suspect(now)
	p.NeedsPreemption = !r.Batch && best.batch > 0 && best.online+best.batch >= best.Slots
	best.trial = !best.until.IsZero()
	f.count(best, r.Batch, 1)
	return p, nil
}

// draw is a choice under way: the likelier an endpoint the more room it has. With views that are out of date, the
// endpoint that looks best would be chosen by all hosts at once (Mitzenmacher 2000, How useful is old information?).
type draw struct {
	Request
	now    time.Time
	total  float64
	free   bool // some endpoint has a free slot, which goes before one that a batch item must leave
	slots  int  // of those that were considered and work
	open   int  // of these, which nobody uses
	room   int  // of these, which no online request uses
	works  bool // some endpoint works at all
	chosen *entry
}

// best draws an endpoint and reports whether any works at all.
func (f *Fleet) best(r Request, now time.Time) (chosen *entry, works bool) {
	s := f.services[r.Service]
	if s == nil {
		return nil, false
	}
	d := draw{Request: r, now: now}
	f.consider(&d, s.near, 1)
	if !d.ample() || !d.free {
		f.consider(&d, s.far, farWeight)
	}
	return d.chosen, d.works
}

// consider draws among a ring's endpoints from this host's position on: the first arc of them, and more while these are
// crowded.
func (f *Fleet) consider(d *draw, ring []*entry, factor float64) {
	arc := f.arc(len(ring))
	for i, e := range from(ring, f.position) {
		if i >= arc && d.free && float64(d.open) >= crowdedShare*float64(d.slots) {
			return
		}
		if e.Leaving || !e.usable(d.LastAttempt, d.now) {
			continue
		}
		d.slots += e.Slots
		d.open += max(0, e.Slots-e.online-e.batch)
		d.room += max(0, e.Slots-e.online)
		if d.Avoid[e.ID] {
			continue
		}
		d.works = true
		d.weigh(f, e, factor)
	}
}

// weigh has an endpoint take part in the draw.
func (d *draw) weigh(f *Fleet, e *entry, factor float64) {
	weight, open := e.weight(d.Request)
	if weight <= 0 || (d.free && !open) {
		return
	}
	if f.warm(e.Address) {
		weight *= warmWeight
	}
	if open && !d.free {
		d.free, d.total, d.chosen = true, 0, nil
	}
	if d.LastAttempt && e.suspect(d.now) {
		weight *= silentWeight
	}
	weight *= factor
	d.total += weight
	if rand.Float64()*d.total < weight {
		d.chosen = e
	}
}

// ample reports whether the own zone's endpoints are enough: they are many, and have room beside online requests.
func (d *draw) ample() bool {
	return d.slots >= largeZone && float64(d.room) >= crowdedShare*float64(d.slots)
}

// weight returns how likely the endpoint is chosen, 0 for never, and whether it has a free slot.
func (e *entry) weight(r Request) (weight float64, open bool) {
	room := e.Slots - e.online - e.batch
	if r.Batch {
		room -= r.Reserve + e.reserve()
	}
	open = room > 0 && e.silent == 0
	if !open {
		if r.Batch {
			return 0, false
		}
		room = e.Slots - e.online
	}
	if room <= 0 {
		return 0, false
	}
	weight = math.Pow(float64(room), roomPower)
	if e.silent > 0 {
		weight *= silentWeight
	}
	return weight, open
}

// reserve returns the slots that batch items leave free for the next online request: one while online requests come
// often enough for two hosts to choose the same slot. Where few come, an item that yields is soon enough.
func (e *entry) reserve() int {
	if e.online*quietParts < e.Slots {
		return 0
	}
	return 1
}

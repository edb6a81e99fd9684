package wharfallocator

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpace"
	"wagtailwharf.example/wharf/state/wharfpick"
)

const (
	// answerTimeout bounds the wait for an allocator's answer, in addition to the request's time in the queue: many
	// round trips within a zone, and a small part of an online request's objective.
	answerTimeout = 60 * time.Millisecond
	// forwardTimeout bounds the wait for the answer of another zone's allocator: several round trips between zones.
	forwardTimeout = 30 * time.Millisecond
	// suspension is how long an allocator that did not answer is not asked again.
	suspension = time.Second
	// answerMemory is how long an allocator's last answer is remembered: longer than any call takes.
	answerMemory = time.Minute
)

// Reservation asks an allocator for a slot.
type Reservation struct {
	Service      string
	Organisation string
	Weight       float64
	MaxWait      time.Duration // longest time in the allocator's queue
	Avoid        []string      // IDs of endpoints that have failed this request
	LastAttempt  bool
	Batch        bool
	Reserve      int      // see wharffleet.Request
	Version      string   // see wharffleet.Request
	Continues    bool     // the request continues a stream, and goes before those that begin one
	Regions      []string // see wharffleet.Request; an empty list is sent as nil, so that no host asks with it
	Requester    wharffleet.Requester
	// Forwarded is set on a reservation that the requester's own zone has no slot for; it is not queued.
	Forwarded bool
	// MayPreempt allows a forwarded reservation to take the slot of a batch item.
	MayPreempt bool
	// Paces are samples that the sender has learned since its last call, at most maxSamples.
	Paces []wharfpace.Sample
	// Queue has a forwarded reservation wait for up to MaxWait in the queue of the zone, because no endpoint of the requester's
	// own zone may run the request.
	Queue bool
}

// Grant is an allocator's answer to a Reservation.
type Grant struct {
	Refusal  Refusal
	Endpoint string // its ID
	Online   int    // online requests and batch items that ran there
	Batch    int
	Suspect  bool
	// AllCold says of a refusal as Busy that every endpoint is cold and gets no more requests of the host at present.
	// Hosts of older builds know Busy only.
	AllCold bool
}

// busyError returns the error of a refusal as Busy.
func (g *Grant) busyError() error {
	if g.AllCold {
		return wharfpick.ErrAllCold
	}
	return wharfgate.ErrBusy
}

// Refusal is why a slot was not granted.
type Refusal int

// The values of Refusal.
const (
	Granted    Refusal = iota
	Busy               // no slot became free in time
	NoEndpoint         // no endpoint is available
	NotReady           // the host does not know the endpoints
)

// Request describes a request that needs a slot.
type Request struct {
	Service      string
	Organisation string
	Weight       float64
	MaxWait      time.Duration   // longest time in a queue
	Avoid        map[string]bool // IDs of endpoints that have failed this request
	LastAttempt  bool
	Batch        bool
	Reserve      int      // see wharffleet.Request
	Version      string   // see wharffleet.Request
	Continues    bool     // the request continues a stream, and goes before those that begin one
	Regions      []string // see wharffleet.Request
}

// Options holds an Allocator's dependencies.
type Options struct {
	Fleet      *wharffleet.Fleet
	Gate       *wharfgate.Gate[*wharffleet.Placement]
	Allocators func() []wharfgossip.AllocatorHost // of this zone, first choice first; none in a small fleet
	Ready      func() bool                        // whether this host knows the endpoints
	// Remote returns the allocators of another zone, first choice first.
	Remote func(zone string) []wharfgossip.AllocatorHost
	// Call asks another host for a slot.
	Call func(ctx context.Context, to wharfgossip.AllocatorHost, r Reservation) (Grant, error)
	// Preempt stops a batch item at an endpoint.
	Preempt func(endpoint string)
	// Count counts an event for the metrics.
	Count func(name string)
	// Paces takes and gives the samples of reservations; nil for none.
	Paces *wharfpace.Paces
}

// Allocator gets slots for this host's requests, and grants slots to other hosts. It is safe for concurrent use.
type Allocator struct {
	options   Options
	mu        sync.Mutex
	suspended map[string]time.Time // by host, until when it is not asked
	answered  map[string]time.Time // by host, when it last answered a call
}

// New returns an Allocator.
func New(options Options) *Allocator {
	return &Allocator{options: options, suspended: map[string]time.Time{}, answered: map[string]time.Time{}}
}

// Exact reports whether slots are granted by a host that knows all loads on them, so that hosts need not leave room for
// each other.
func (a *Allocator) Exact() bool {
	return len(a.options.Allocators()) > 0
}

// Usable returns the allocators of this zone that have not failed to answer lately, first choice first.
func (a *Allocator) Usable() []wharfgossip.AllocatorHost {
	return slices.DeleteFunc(slices.Clone(a.options.Allocators()), func(other wharfgossip.AllocatorHost) bool {
		return !other.Self && a.IsSuspended(other.Host)
	})
}

// NoteCall records whether an allocator answered a call that was made at start. If not, others are asked for a while in its
// place, unless it has answered another call since, which shows that it is only slow.
func (a *Allocator) NoteCall(host string, start time.Time, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if answered {
		a.answered[host] = now
		return
	}
	if a.answered[host].After(start) {
		return
	}
	maps.DeleteFunc(a.answered, func(_ string, at time.Time) bool { return now.Sub(at) > answerMemory })
	maps.DeleteFunc(a.suspended, func(_ string, until time.Time) bool { return !now.Before(until) })
	a.suspended[host] = now.Add(suspension)
}

// Acquire returns a slot for a request of this host, which holds it until the placement is released. It returns
// wharfgate.ErrBusy or wharfpick.ErrAllFull if no slot is free in time, wharfpick.ErrAllCold at once if all endpoints are
// cold and get no more requests of this host at present, wharfpick.ErrNoEndpoint if there is no available endpoint, or
// the cause for which ctx has ended.
func (a *Allocator) Acquire(ctx context.Context, r Request) (*wharffleet.Placement, error) {
	if r.Regions != nil && len(r.Regions) == 0 {
		return nil, wharfpick.ErrNoEndpoint
	}
	start := time.Now()
	for _, to := range a.Usable() {
		if to.Self {
			break
		}
		placement, err := a.acquireFrom(ctx, to, r, r.MaxWait-time.Since(start))
		if errors.Is(err, errUnanswered) {
			continue
		}
		return placement, err
	}
	r.MaxWait = max(0, r.MaxWait-time.Since(start))
	return a.acquireLocally(ctx, r)
}

// errUnanswered means that another host has to be asked.
var errUnanswered = errors.New("allocator did not grant or refuse a slot")

// acquireFrom asks another host of this zone for a slot.
func (a *Allocator) acquireFrom(
	ctx context.Context, to wharfgossip.AllocatorHost, r Request, maxWait time.Duration,
) (*wharffleet.Placement, error) {
	reservation := newReservation(r, a.options.Fleet.Requester(r.Service))
	reservation.MaxWait = max(0, maxWait)
	reservation.Paces = a.takeSamples("")
	grant, err := a.call(ctx, to, reservation, reservation.MaxWait+answerTimeout)
	if err != nil {
		return nil, errUnanswered
	}
	switch grant.Refusal {
	case Busy:
		return nil, grant.busyError()
	case NoEndpoint:
		return nil, wharfpick.ErrNoEndpoint
	case NotReady:
		return nil, errUnanswered
	}
	return a.adopt(ctx, grant, r)
}

// call asks another host for a slot. The call goes on when ctx ends, since the connection is shared and a slot that is
// granted must be given back.
func (a *Allocator) call(
	ctx context.Context, to wharfgossip.AllocatorHost, r Reservation, limit time.Duration,
) (Grant, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	start := time.Now()
	grant, err := a.options.Call(ctx, to, r)
	a.NoteCall(to.Host, start, err == nil)
	if err != nil {
		a.options.Count("allocator-timeouts")
		klog.InfoS("allocator did not answer", "peer", to.Host, "service", r.Service, "error", err.Error())
	}
	return grant, err
}

// newReservation returns the reservation of a request, without a time in the queue.
func newReservation(r Request, requester *wharffleet.Requester) Reservation {
	return Reservation{
		Service: r.Service, Organisation: r.Organisation, Weight: r.Weight, Avoid: slices.Collect(maps.Keys(r.Avoid)),
		LastAttempt: r.LastAttempt, Batch: r.Batch, Reserve: r.Reserve, Version: r.Version,
		Continues: r.Continues, Regions: r.Regions, Requester: *requester,
	}
}

// adopt takes the granted slot.
func (a *Allocator) adopt(ctx context.Context, grant Grant, r Request) (*wharffleet.Placement, error) {
	placement, known := a.options.Fleet.Adopt(
		grant.Endpoint, wharffleet.Request{Batch: r.Batch, Version: r.Version, Regions: r.Regions}, grant.Suspect)
	if !known {
		klog.InfoS("granted endpoint is unknown, gets no requests, is of another version or region or cold", "endpoint", grant.Endpoint,
			"service", r.Service, "version", r.Version)
		return nil, errUnanswered // the next report of this host's loads corrects the allocator's
	}
	a.options.Count("slots-granted-to-us")
	placement.Online, placement.Batch = grant.Online, grant.Batch
	if ctx.Err() != nil {
		placement.Release()
		return nil, context.Cause(ctx)
	}
	return placement, nil
}

// acquireLocally places a request of this host without asking another host of its zone.
func (a *Allocator) acquireLocally(ctx context.Context, r Request) (*wharffleet.Placement, error) {
	own := slices.ContainsFunc(a.options.Allocators(), func(other wharfgossip.AllocatorHost) bool { return other.Self })
	if !own {
		return a.place(ctx, r, wharffleet.Request{})
	}
	placement, grant, err := a.allocate(ctx, r, nil)
	if placement != nil || err != nil {
		return placement, err
	}
	placement, err = a.adopt(ctx, grant, r)
	if errors.Is(err, errUnanswered) {
		return a.place(ctx, r, wharffleet.Request{})
	}
	return placement, err
}

// Grant finds a slot for a request of another host. The slot counts for that host at once, until its own reports do.
func (a *Allocator) Grant(ctx context.Context, reservation Reservation) Grant {
	a.receiveSamples(reservation.Paces)
	if !a.options.Ready() {
		return Grant{Refusal: NotReady}
	}
	r := Request{
		Service: reservation.Service, Organisation: reservation.Organisation, Weight: reservation.Weight,
		MaxWait: reservation.MaxWait, Avoid: make(map[string]bool, len(reservation.Avoid)),
		LastAttempt: reservation.LastAttempt, Batch: reservation.Batch, Reserve: reservation.Reserve,
		Version: reservation.Version, Continues: reservation.Continues, Regions: reservation.Regions,
	}
	for _, id := range reservation.Avoid {
		r.Avoid[id] = true
	}
	if reservation.Forwarded && reservation.Queue {
		return grantOf(a.place(ctx, r, wharffleet.Request{NearOnly: true, Requester: &reservation.Requester}))
	}
	if reservation.Forwarded {
		return grantOf(a.pickAndPreempt(r, wharffleet.Request{
			NearOnly: true, FreeOnly: !reservation.MayPreempt, Requester: &reservation.Requester,
		}))
	}
	placement, grant, err := a.allocate(ctx, r, &reservation.Requester)
	if placement == nil && err == nil {
		return grant
	}
	return grantOf(placement, err)
}

func grantOf(placement *wharffleet.Placement, err error) Grant {
	switch {
	case errors.Is(err, wharfpick.ErrNoEndpoint):
		return Grant{Refusal: NoEndpoint}
	case err != nil:
		return Grant{Refusal: Busy, AllCold: errors.Is(err, wharfpick.ErrAllCold)}
	}
	return Grant{
		Endpoint: placement.Endpoint.ID, Online: placement.Online, Batch: placement.Batch, Suspect: placement.Suspect,
	}
}

// allocate places a request of this host, or of the requester if it is not nil, as the zone's allocator: on a free slot
// of this zone or, by its allocator, of another one; on the slot of a batch item in this zone or another one; or after a
// wait in the queue, of another zone if no endpoint of this one may run the request. It returns either a placement on an
// endpoint of this zone or another allocator's grant.
func (a *Allocator) allocate(
	ctx context.Context, r Request, requester *wharffleet.Requester,
) (*wharffleet.Placement, Grant, error) {
	a.options.Count("slots-allocated")
	start := time.Now()
	scope := wharffleet.Request{NearOnly: true, Requester: requester}
	first := r.Continues || a.options.Gate.Waiting() == 0
	if first {
		free := scope
		free.FreeOnly = true
		if placement, err := a.pick(r, free); err == nil {
			return placement, Grant{}, nil
		}
	}
	if grant, granted := a.forward(ctx, r, requester, false); granted {
		return nil, grant, nil
	}
	excluded := a.options.Fleet.ExcludesNear(r.Service, r.Regions)
	if !r.Batch && (first || excluded) {
		if placement, err := a.pickAndPreempt(r, scope); err == nil {
			return placement, Grant{}, nil
		}
		if grant, granted := a.forward(ctx, r, requester, true); granted {
			return nil, grant, nil
		}
	}
	if excluded {
		r.MaxWait = max(0, r.MaxWait-time.Since(start))
		grant, err := a.queueElsewhere(ctx, r, requester)
		if !errors.Is(err, errUnanswered) {
			return nil, grant, err
		}
		scope.NearOnly = false
	}
	placement, err := a.place(ctx, r, scope)
	if scope.NearOnly && errors.Is(err, wharfpick.ErrNoEndpoint) {
		scope.NearOnly = false // the service has endpoints in other zones only
		placement, err = a.place(ctx, r, scope)
	}
	return placement, Grant{}, err
}

// forward asks the allocator of another zone with free slots or, with mayPreempt, slots of batch items. A zone is chosen
// at random, in proportion to these slots, since what is known of them is some tens of milliseconds old.
func (a *Allocator) forward(
	ctx context.Context, r Request, requester *wharffleet.Requester, mayPreempt bool,
) (Grant, bool) {
	if requester == nil {
		requester = a.options.Fleet.Requester(r.Service)
	}
	free := a.options.Fleet.FreeSlotsElsewhere(r.Service, mayPreempt, r.Regions)
	reservation := newReservation(r, requester)
	reservation.Forwarded, reservation.MayPreempt = true, mayPreempt
	for range maxForwards {
		zone, found := drawZone(free)
		if !found {
			break
		}
		delete(free, zone)
		reservation.Paces = a.takeSamples(zone)
		for _, to := range a.options.Remote(zone) {
			if a.IsSuspended(to.Host) {
				continue
			}
			grant, err := a.call(ctx, to, reservation, forwardTimeout)
			if err != nil {
				return Grant{}, false // the zone may be cut off, and the request has waited long enough
			}
			if grant.Refusal == Granted {
				a.options.Count("slots-granted-elsewhere")
				return grant, true
			}
			if grant.Refusal != NotReady {
				break
			}
		}
	}
	return Grant{}, false
}

// maxForwards is the largest number of other zones asked for one request.
const maxForwards = 2

// drawZone draws a zone with a probability in proportion to its free slots.
func drawZone(free map[string]int) (zone string, found bool) {
	total := 0
	for name, slots := range free {
		total += slots
		if rand.IntN(total) < slots {
			zone, found = name, true
		}
	}
	return zone, found
}

// pick takes a slot at once, within the limits that scope sets.
func (a *Allocator) pick(r Request, scope wharffleet.Request) (*wharffleet.Placement, error) {
	scope.Service, scope.Avoid, scope.LastAttempt = r.Service, r.Avoid, r.LastAttempt
	scope.Batch, scope.Reserve, scope.Version, scope.Regions = r.Batch, r.Reserve, r.Version, r.Regions
	return a.options.Fleet.Pick(scope)
}

// pickAndPreempt takes a slot at once, and has a batch item stopped if it holds that slot.
func (a *Allocator) pickAndPreempt(r Request, scope wharffleet.Request) (*wharffleet.Placement, error) {
	placement, err := a.pick(r, scope)
	if err == nil && placement.NeedsPreemption {
		a.options.Preempt(placement.Endpoint.ID)
	}
	return placement, err
}

// place takes a slot within the limits that scope sets. Online requests wait for one in the queue, and may take the
// slot of a batch item; batch items do not wait, and take no slot while online requests do.
func (a *Allocator) place(ctx context.Context, r Request, scope wharffleet.Request) (*wharffleet.Placement, error) {
	if r.Batch {
		if a.options.Gate.Waiting() > 0 {
			return nil, wharfpick.ErrAllFull
		}
		return a.pick(r, scope)
	}
	placement, _, err := a.options.Gate.Acquire(ctx, wharfgate.Request[*wharffleet.Placement]{
		Service: r.Service, Organisation: r.Organisation, Weight: r.Weight, MaxWait: r.MaxWait,
		Continues: r.Continues, Class: strings.Join(r.Regions, "\n"),
		Pick: func(time.Time) (*wharffleet.Placement, error) { return a.pick(r, scope) },
	})
	if err == nil && placement.NeedsPreemption {
		a.options.Preempt(placement.Endpoint.ID)
	}
	return placement, err
}

// RampUp returns the time until the first cold endpoint of a service is warm, or 0 if that is not known.
func (a *Allocator) RampUp(service string) time.Duration {
	return a.options.Fleet.RampUp(service)
}

// IsSuspended reports whether an allocator has not answered lately and is not asked.
func (a *Allocator) IsSuspended(host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.suspended[host])
}

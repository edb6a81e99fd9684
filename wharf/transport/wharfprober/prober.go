package wharfprober

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharffleet"
)

const (
	// interval is the time between two checks for endpoints to probe.
	interval = 200 * time.Millisecond
	// maxBackoff is the longest time between two probes of an endpoint. The first ones follow sooner, since most
	// connections that fail while an endpoint is sound fail for a moment.
	maxBackoff = time.Second
)

// Prober probes unreachable endpoints. It is not safe for concurrent use.
type Prober struct {
	fleet   *wharffleet.Fleet
	connect func(ctx context.Context, address netip.AddrPort) error
	probes  map[string]*probe // by endpoint ID
	results chan result
}

// probe is the state of the probes of one endpoint.
type probe struct {
	running bool
	next    time.Time
	backoff time.Duration
}

// result is the outcome of one probe.
type result struct {
	endpoint wharffleet.Endpoint
	err      error
}

// New returns a prober of a fleet's endpoints. connect opens a connection to an endpoint.
func New(fleet *wharffleet.Fleet, connect func(ctx context.Context, address netip.AddrPort) error) *Prober {
	return &Prober{fleet: fleet, connect: connect, probes: map[string]*probe{}, results: make(chan result)}
}

// Serve probes until ctx is done.
func (p *Prober) Serve(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case r := <-p.results:
			p.handle(r)
		case <-ticker.C:
			p.start(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// start starts the probes that are due, and forgets endpoints that are no longer unreachable.
func (p *Prober) start(ctx context.Context) {
	now := time.Now()
	unreachable := map[string]bool{}
	for _, e := range p.fleet.Unreachable() {
		unreachable[e.ID] = true
		state := p.probes[e.ID]
		if state == nil {
			state = &probe{backoff: interval}
			p.probes[e.ID] = state
		}
		if state.running || now.Before(state.next) {
			continue
		}
		state.running = true
		go func() {
			err := p.connect(ctx, e.Address)
			select {
			case p.results <- result{e, err}:
			case <-ctx.Done():
			}
		}()
	}
	for id, state := range p.probes {
		if !unreachable[id] && !state.running {
			delete(p.probes, id)
		}
	}
}

func (p *Prober) handle(r result) {
	state := p.probes[r.endpoint.ID]
	state.running = false
	if r.err != nil {
		state.next = time.Now().Add(state.backoff)
		state.backoff = min(2*state.backoff, maxBackoff)
		return
	}
	klog.InfoS("endpoint is reachable again", "endpoint", r.endpoint.ID)
	p.fleet.SetReachable(r.endpoint)
}

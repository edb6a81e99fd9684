package wharfsoak

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf-load/wharfproxy"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// shortestFault and longestFault bound how long a fault lasts; the longest is past the time after which hosts take
	// over the jobs of others.
	shortestFault = 200 * time.Millisecond
	longestFault  = 6 * time.Second
	// leastEvents and moreEvents bound how many faults a run has.
	leastEvents = 6
	moreEvents  = 8
	// seriesPause lies between the steps of a series.
	seriesPause = 500 * time.Millisecond
	slowStore   = 200 * time.Millisecond
	slowPath    = 100 * time.Millisecond
	// lostReplies is the share of the store's writes that are done without an answer, greyShare that of the requests
	// that an endpoint fails.
	lostReplies = 0.3
	greyShare   = 0.4
	// mostCuts is the largest number of faults between hosts.
	mostCuts = 3
	// herdShare is the share of the hosts that are killed at once.
	herdShare = 0.6
	// rowAfterCrash is how long the row of a crashed endpoint stays.
	rowAfterCrash = 1500 * time.Millisecond
)

// event is a fault of a run.
type event struct {
	at       time.Duration
	lasts    time.Duration
	kind     string
	host     int
	endpoint int
	draw     float64
}

// String returns the event as one line.
func (e event) String() string {
	return fmt.Sprintf("%v %s host %d endpoint %d for %v", e.at.Round(time.Millisecond), e.kind, e.host, e.endpoint, e.lasts.Round(time.Millisecond))
}

// fault brings a fault about and returns once it is over.
type fault func(ctx context.Context, s *site, e event)

// kinds are the faults by name, but for those between hosts.
var kinds = map[string]fault{
	"host-kill": func(ctx context.Context, s *site, e event) { s.killHosts(ctx, s.hosts[e.host:e.host+1], e.lasts) },
	"host-kill-series": func(ctx context.Context, s *site, e event) {
		for range 3 {
			s.killHosts(ctx, s.hosts[e.host:e.host+1], seriesPause)
			wharfpause.For(ctx, seriesPause)
		}
	},
	"hosts-kill-herd": func(ctx context.Context, s *site, e event) {
		s.killHosts(ctx, s.hosts[:max(1, int(herdShare*float64(len(s.hosts))))], e.lasts)
	},
	"host-pause": func(ctx context.Context, s *site, e event) { s.pauseHost(ctx, s.hosts[e.host], e.lasts) },
	"host-stop":  func(ctx context.Context, s *site, e event) { s.stopHost(ctx, s.hosts[e.host], e.lasts) },
	"hosts-roll": func(ctx context.Context, s *site, _ event) {
		for _, h := range s.hosts {
			s.stopHost(ctx, h, seriesPause)
			wharfpause.For(ctx, seriesPause)
		}
	},
	"host-reload": func(_ context.Context, s *site, e event) {
		_ = s.hosts[e.host].Signal(syscall.SIGHUP) // one that has ended has nothing to reload
	},
	"host-store-cut": func(ctx context.Context, s *site, e event) { s.cutStore(ctx, s.hosts[e.host:e.host+1], e) },
	"store-cut": func(ctx context.Context, s *site, e event) {
		defer s.storeFaults.begin()()
		s.cutStore(ctx, s.hosts, e)
	},
	"store-slow": func(ctx context.Context, s *site, e event) {
		defer s.storeFaults.begin()()
		s.throughStore(ctx, s.hosts, wharfproxy.Faults{Delay: slowStore}, e.lasts)
	},
	"store-busy": func(ctx context.Context, s *site, e event) {
		s.failStore(ctx, e, func(string) error { return wharfrecords.ErrUnavailable })
	},
	"store-loses-replies": func(ctx context.Context, s *site, e event) {
		s.failStore(ctx, e, func(call string) error {
			if call == "commit" && rand.Float64() < lostReplies {
				return wharfrecords.ErrUnknown
			}
			return nil
		})
	},
	"store-history": func(_ context.Context, s *site, _ event) {
		defer s.storeFaults.begin()()
		s.store.DropHistory()
		for _, h := range s.hosts {
			h.store.ResetConnections()
		}
	},
	"endpoint-silent": func(ctx context.Context, s *site, e event) {
		s.throughEndpoint(ctx, e, wharfproxy.Faults{DropToTarget: true, DropToClient: true})
	},
	"endpoint-one-way": func(ctx context.Context, s *site, e event) {
		s.throughEndpoint(ctx, e, wharfproxy.Faults{DropToTarget: e.draw < 0.5, DropToClient: e.draw >= 0.5})
	},
	"endpoint-slow": func(ctx context.Context, s *site, e event) {
		s.throughEndpoint(ctx, e, wharfproxy.Faults{Delay: slowPath})
	},
	"endpoint-reset": func(ctx context.Context, s *site, e event) {
		defer s.endpoints[e.endpoint].faults.begin()()
		for range 3 {
			s.endpoints[e.endpoint].proxy.ResetConnections()
			wharfpause.For(ctx, seriesPause)
		}
	},
	"endpoint-grey": func(ctx context.Context, s *site, e event) {
		s.greyEndpoint(ctx, e, wharfstandin.Faults{ErrorRate: greyShare, RejectBody: impossible})
	},
	"endpoint-breaks": func(ctx context.Context, s *site, e event) {
		s.greyEndpoint(ctx, e, wharfstandin.Faults{BreakRate: greyShare, RejectBody: impossible})
	},
	"endpoint-full": func(ctx context.Context, s *site, e event) {
		s.greyEndpoint(ctx, e, wharfstandin.Faults{Full: true, RejectBody: impossible})
	},
	"endpoint-crash": func(ctx context.Context, s *site, e event) { s.crashEndpoint(ctx, e) },
	"key-withdrawn": func(ctx context.Context, s *site, e event) {
		s.setWithdrawn(true)
		wharfpause.For(ctx, e.lasts)
		s.setWithdrawn(false)
	},
}

// draw returns the faults of a run in the order in which they begin; several may last at once. Those between hosts are
// drawn apart, so that seeds from before them bring the same others.
func draw(random *rand.Rand, s *site) []event {
	events := drawFrom(random, kinds, leastEvents+random.IntN(moreEvents), s)
	between := newRandom(^s.options.Seed)
	events = append(events, drawFrom(between, hostCuts, between.IntN(mostCuts+1), s)...)
	slices.SortFunc(events, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.kind, b.kind))
	})
	return events
}

func drawFrom(random *rand.Rand, from map[string]fault, count int, s *site) []event {
	names := slices.Sorted(maps.Keys(from))
	var events []event
	for range count {
		events = append(events, event{
			at:       time.Duration(random.Int64N(int64(s.options.Duration))),
			lasts:    shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
			kind:     names[random.IntN(len(names))],
			host:     random.IntN(len(s.hosts)),
			endpoint: random.IntN(len(s.endpoints)),
			draw:     random.Float64(),
		})
	}
	return events
}

// play begins each fault at its time and returns once all are over.
func (s *site) play(ctx context.Context, events []event) {
	begun := time.Now()
	var running sync.WaitGroup
	for _, e := range events {
		running.Go(func() {
			if wharfpause.For(ctx, e.at-time.Since(begun)) {
				faultOf(e.kind)(ctx, s, e)
			}
		})
	}
	running.Wait()
	wharfpause.For(ctx, s.options.Duration-time.Since(begun))
}

func (s *site) killHosts(ctx context.Context, hosts []*host, down time.Duration) {
	for _, h := range hosts {
		defer h.faults.begin()()
		h.kill()
	}
	wharfpause.For(ctx, down)
	for _, h := range hosts {
		s.startAgain(ctx, h)
	}
}

func (s *site) startAgain(ctx context.Context, h *host) {
	if err := s.startHost(ctx, h, false); err != nil {
		s.findings.add("%s could not be started again: %v", h.name, err)
	}
}

func (s *site) pauseHost(ctx context.Context, h *host, length time.Duration) {
	defer h.faults.begin()()
	_ = h.Signal(syscall.SIGSTOP) // one that has ended stands still anyway
	wharfpause.For(ctx, length)
	_ = h.Signal(syscall.SIGCONT)
}

// stopHost asks a host to end, as a planned stop does, and starts it again a while after it has.
func (s *site) stopHost(ctx context.Context, h *host, down time.Duration) {
	defer h.stops.begin()()
	if !h.Running() {
		return // another fault has ended it
	}
	h.ending.Store(true)
	asked := time.Now()
	done := h.Done()
	_ = h.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopLimit + time.Second):
		if !h.faults.within(asked, time.Now()) {
			s.findings.add("%s still runs %v after it was asked to end", h.name, stopLimit+time.Second)
		}
		h.kill()
	case <-ctx.Done():
		return
	}
	if code := h.ExitCode(); code != 0 && !h.faults.within(asked, time.Now()) {
		s.findings.add("%s ended a planned stop with exit code %d", h.name, code)
	}
	wharfpause.For(ctx, down)
	s.startAgain(ctx, h)
}

// cutStore cuts hosts from the store, in one of the ways in which a path fails.
func (s *site) cutStore(ctx context.Context, hosts []*host, e event) {
	ways := []wharfproxy.Faults{{DropToTarget: true, DropToClient: true}, {DropToTarget: true}, {DropToClient: true}, {ResetNew: true}}
	s.throughStore(ctx, hosts, ways[int(e.draw*float64(len(ways)))], e.lasts)
}

func (s *site) throughStore(ctx context.Context, hosts []*host, faults wharfproxy.Faults, length time.Duration) {
	for _, h := range hosts {
		defer h.faults.begin()()
		h.store.SetFaults(faults)
		if faults.ResetNew {
			h.store.ResetConnections()
		}
	}
	wharfpause.For(ctx, length)
	for _, h := range hosts {
		h.store.SetFaults(wharfproxy.Faults{})
	}
}

func (s *site) failStore(ctx context.Context, e event, fault func(call string) error) {
	defer s.storeFaults.begin()()
	s.store.SetFault(fault)
	wharfpause.For(ctx, e.lasts)
	s.store.SetFault(nil)
}

func (s *site) throughEndpoint(ctx context.Context, e event, faults wharfproxy.Faults) {
	place := s.endpoints[e.endpoint]
	defer place.faults.begin()()
	place.proxy.SetFaults(faults)
	wharfpause.For(ctx, e.lasts)
	place.proxy.SetFaults(wharfproxy.Faults{})
}

func (s *site) greyEndpoint(ctx context.Context, e event, faults wharfstandin.Faults) {
	place := s.endpoints[e.endpoint]
	defer place.faults.begin()()
	place.last().SetFaults(faults)
	wharfpause.For(ctx, e.lasts)
	place.last().SetFaults(wharfstandin.Faults{RejectBody: impossible})
}

// crashEndpoint ends an endpoint at once; its row goes later, and another one comes to its address.
func (s *site) crashEndpoint(ctx context.Context, e event) {
	place := s.endpoints[e.endpoint]
	defer place.faults.begin()()
	place.mu.Lock()
	if place.down {
		place.mu.Unlock()
		return
	}
	place.down = true
	crashed := place.runs[len(place.runs)-1]
	place.mu.Unlock()
	place.proxy.SetFaults(wharfproxy.Faults{ResetNew: true})
	place.proxy.ResetConnections()
	crashed.Stop()
	wharfpause.For(ctx, rowAfterCrash)
	if err := crashed.Deregister(); err != nil {
		s.findings.add("the row of %s could not be removed: %v", crashed.ID, err)
	}
	wharfpause.For(ctx, e.lasts)
	place.proxy.SetFaults(wharfproxy.Faults{})
	if err := s.startEndpoint(place, e.endpoint); err != nil {
		s.findings.add("endpoint %d could not be started again: %v", e.endpoint, err)
	}
}

func (s *site) setWithdrawn(away bool) {
	if err := s.withdraw(away); err != nil {
		s.findings.add("the configuration could not be written: %v", err)
	}
}

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
	// minFaultDuration and maxFaultDuration bound the duration of a fault; the maximum exceeds the time after which
	// hosts take over the jobs of a failed host.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	// A run has at least minFaults and fewer than minFaults + extraFaults faults, not counting peer faults.
	minFaults   = 6
	extraFaults = 8
	// stepInterval is the pause between the steps of a fault that consists of several.
	stepInterval = 500 * time.Millisecond
	// storeDelay and linkDelay are the latencies that store-slow, and peers-slow and endpoint-slow, add.
	storeDelay = 200 * time.Millisecond
	linkDelay  = 100 * time.Millisecond
	// lostReplyShare is the share of the store's writes that are committed but not acknowledged, greyFailureShare the
	// share of requests that a faulty endpoint fails.
	lostReplyShare   = 0.3
	greyFailureShare = 0.4
	// maxPeerFaults is the maximum number of network faults between hosts in a run.
	maxPeerFaults = 3
	// massKillShare is the share of the hosts that hosts-kill-herd kills at once.
	massKillShare = 0.6
	// crashedRowDelay is how long the row of a crashed endpoint stays in the store.
	crashedRowDelay = 1500 * time.Millisecond
)

// faultEvent is a scheduled fault.
type faultEvent struct {
	at       time.Duration // from the start of fault injection
	duration time.Duration
	kind     string
	host     int
	endpoint int
	variant  float64 // random number in [0, 1) that selects a variant of the fault
}

// String describes the event on one line.
func (e faultEvent) String() string {
	return fmt.Sprintf("%v %s host %d endpoint %d for %v", e.at.Round(time.Millisecond), e.kind, e.host, e.endpoint,
		e.duration.Round(time.Millisecond))
}

// faultFunc injects a fault and returns once it has ended.
type faultFunc func(ctx context.Context, s *system, e faultEvent)

// baseFaults maps kinds to all faults except those between hosts, which are in peerFaults.
var baseFaults = map[string]faultFunc{
	"host-kill": func(ctx context.Context, s *system, e faultEvent) {
		s.killHosts(ctx, s.hosts[e.host:e.host+1], e.duration)
	},
	"host-kill-series": func(ctx context.Context, s *system, e faultEvent) {
		for range 3 {
			s.killHosts(ctx, s.hosts[e.host:e.host+1], stepInterval)
			wharfpause.For(ctx, stepInterval)
		}
	},
	"hosts-kill-herd": func(ctx context.Context, s *system, e faultEvent) {
		s.killHosts(ctx, s.hosts[:max(1, int(massKillShare*float64(len(s.hosts))))], e.duration)
	},
	"host-pause": func(ctx context.Context, s *system, e faultEvent) { s.pauseHost(ctx, s.hosts[e.host], e.duration) },
	"host-stop":  func(ctx context.Context, s *system, e faultEvent) { s.stopHost(ctx, s.hosts[e.host], e.duration) },
	"hosts-roll": func(ctx context.Context, s *system, _ faultEvent) {
		for _, h := range s.hosts {
			s.stopHost(ctx, h, stepInterval)
			wharfpause.For(ctx, stepInterval)
		}
	},
	"host-reload": func(_ context.Context, s *system, e faultEvent) {
		_ = s.hosts[e.host].Signal(syscall.SIGHUP) // fails if the host has ended, which is harmless
	},
	"host-store-cut": func(ctx context.Context, s *system, e faultEvent) {
		s.partitionStore(ctx, s.hosts[e.host:e.host+1], e)
	},
	"store-cut": func(ctx context.Context, s *system, e faultEvent) {
		defer s.storeFaults.begin()()
		s.partitionStore(ctx, s.hosts, e)
	},
	"store-slow": func(ctx context.Context, s *system, e faultEvent) {
		defer s.storeFaults.begin()()
		s.withStoreProxyFaults(ctx, s.hosts, wharfproxy.Faults{Delay: storeDelay}, e.duration)
	},
	"store-busy": func(ctx context.Context, s *system, e faultEvent) {
		s.withStoreErrors(ctx, e, func(string) error { return wharfrecords.ErrUnavailable })
	},
	"store-loses-replies": func(ctx context.Context, s *system, e faultEvent) {
		s.withStoreErrors(ctx, e, func(call string) error {
			if call == "commit" && rand.Float64() < lostReplyShare {
				return wharfrecords.ErrUnknown
			}
			return nil
		})
	},
	"store-history": func(_ context.Context, s *system, _ faultEvent) {
		defer s.storeFaults.begin()()
		s.store.DropHistory()
		for _, h := range s.hosts {
			h.storeProxy.ResetConnections()
		}
	},
	"endpoint-silent": func(ctx context.Context, s *system, e faultEvent) {
		s.withEndpointProxyFaults(ctx, e, wharfproxy.Faults{DropToTarget: true, DropToClient: true})
	},
	"endpoint-one-way": func(ctx context.Context, s *system, e faultEvent) {
		s.withEndpointProxyFaults(ctx, e,
			wharfproxy.Faults{DropToTarget: e.variant < 0.5, DropToClient: e.variant >= 0.5})
	},
	"endpoint-slow": func(ctx context.Context, s *system, e faultEvent) {
		s.withEndpointProxyFaults(ctx, e, wharfproxy.Faults{Delay: linkDelay})
	},
	"endpoint-reset": func(ctx context.Context, s *system, e faultEvent) {
		defer s.endpoints[e.endpoint].faults.begin()()
		for range 3 {
			s.endpoints[e.endpoint].proxy.ResetConnections()
			wharfpause.For(ctx, stepInterval)
		}
	},
	"endpoint-grey": func(ctx context.Context, s *system, e faultEvent) {
		s.withEndpointFaults(ctx, e, func(f *wharfstandin.Faults) { f.ErrorRate = greyFailureShare })
	},
	"endpoint-breaks": func(ctx context.Context, s *system, e faultEvent) {
		s.withEndpointFaults(ctx, e, func(f *wharfstandin.Faults) { f.BreakRate = greyFailureShare })
	},
	"endpoint-full": func(ctx context.Context, s *system, e faultEvent) {
		s.withEndpointFaults(ctx, e, func(f *wharfstandin.Faults) { f.Full = true })
	},
	"endpoint-crash": func(ctx context.Context, s *system, e faultEvent) { s.crashEndpoint(ctx, e) },
	"key-withdrawn": func(ctx context.Context, s *system, e faultEvent) {
		s.applyKeyRevocation(true)
		wharfpause.For(ctx, e.duration)
		s.applyKeyRevocation(false)
	},
}

// scheduleFaults draws the faults of a run, ordered by start time; faults may overlap. Peer, prompt and answer faults
// and evacuations were added later and are drawn from separate generators, so that existing seeds still draw the same other
// faults.
func scheduleFaults(rng *rand.Rand, s *system) []faultEvent {
	events := drawFaults(rng, baseFaults, minFaults+rng.IntN(extraFaults), s)
	peerRNG := newRand(^s.options.Seed)
	events = append(events, drawFaults(peerRNG, peerFaults, peerRNG.IntN(maxPeerFaults+1), s)...)
	promptRNG := newRand(s.options.Seed ^ promptFaultSeed)
	events = append(events, drawFaults(promptRNG, promptFaults, promptRNG.IntN(2), s)...)
	answerRNG := newRand(s.options.Seed ^ answerFaultSeed)
	events = append(events, drawFaults(answerRNG, answerFaults, answerRNG.IntN(maxAnswerFaults+1), s)...)
	if s.options.Evacuations {
		evacuationRNG := newRand(s.options.Seed ^ evacuationFaultSeed)
		events = append(events, drawFaults(evacuationRNG, evacuationFaults, 1+evacuationRNG.IntN(maxEvacuations), s)...)
	}
	slices.SortFunc(events, func(a, b faultEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.kind, b.kind))
	})
	return events
}

// drawFaults draws count faults of the given kinds. The order of the draws determines what a seed means, so it must not
// change.
func drawFaults(rng *rand.Rand, kinds map[string]faultFunc, count int, s *system) []faultEvent {
	names := slices.Sorted(maps.Keys(kinds))
	var events []faultEvent
	for range count {
		events = append(events, faultEvent{
			at:       time.Duration(rng.Int64N(int64(s.options.Duration))),
			duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
			kind:     names[rng.IntN(len(names))],
			host:     rng.IntN(len(s.hosts)),
			endpoint: rng.IntN(len(s.endpoints)),
			variant:  rng.Float64(),
		})
	}
	return events
}

// injectFaults starts each fault at its scheduled time and returns once all have ended and the duration has passed.
func (s *system) injectFaults(ctx context.Context, events []faultEvent) {
	start := time.Now()
	var running sync.WaitGroup
	for _, e := range events {
		running.Go(func() {
			if wharfpause.For(ctx, e.at-time.Since(start)) {
				faultByKind(e.kind)(ctx, s, e)
			}
		})
	}
	running.Wait()
	wharfpause.For(ctx, s.options.Duration-time.Since(start))
}

func (s *system) killHosts(ctx context.Context, hosts []*host, down time.Duration) {
	for _, h := range hosts {
		defer h.faults.begin()()
		h.kill()
	}
	wharfpause.For(ctx, down)
	for _, h := range hosts {
		s.restartHost(ctx, h)
	}
}

func (s *system) restartHost(ctx context.Context, h *host) {
	if err := s.startHost(ctx, h, false); err != nil {
		s.findings.add("could not restart %s: %v", h.name, err)
	}
}

func (s *system) pauseHost(ctx context.Context, h *host, duration time.Duration) {
	defer h.faults.begin()()
	_ = h.Signal(syscall.SIGSTOP) // a host that has ended needs no pause
	wharfpause.For(ctx, duration)
	_ = h.Signal(syscall.SIGCONT)
}

// stopHost stops a host gracefully with SIGTERM and restarts it after a delay.
func (s *system) stopHost(ctx context.Context, h *host, down time.Duration) {
	defer h.plannedStops.begin()()
	run := h.Latest()
	if !h.Running() {
		return // another fault has stopped it
	}
	run.SetStopping()
	signalledAt := time.Now()
	_ = h.Signal(syscall.SIGTERM)
	select {
	case <-run.Done():
	case <-time.After(stopLimit + time.Second):
		if !h.faults.overlaps(signalledAt, time.Now()) {
			s.findings.add("%s is still running %v after SIGTERM", h.name, stopLimit+time.Second)
		}
		h.kill()
	case <-ctx.Done():
		return
	}
	if code := run.ExitCode(); code != 0 && !h.faults.overlaps(signalledAt, time.Now()) {
		s.findings.add("%s exited with code %d after SIGTERM", h.name, code)
	}
	wharfpause.For(ctx, down)
	s.restartHost(ctx, h)
}

// partitionStore cuts hosts off from the store: in both directions, in one of them, or by resetting connections.
func (s *system) partitionStore(ctx context.Context, hosts []*host, e faultEvent) {
	modes := []wharfproxy.Faults{
		{DropToTarget: true, DropToClient: true}, {DropToTarget: true}, {DropToClient: true}, {ResetNew: true},
	}
	s.withStoreProxyFaults(ctx, hosts, modes[int(e.variant*float64(len(modes)))], e.duration)
}

func (s *system) withStoreProxyFaults(
	ctx context.Context, hosts []*host, faults wharfproxy.Faults, duration time.Duration,
) {
	for _, h := range hosts {
		defer h.faults.begin()()
		h.storeProxy.SetFaults(faults)
		if faults.ResetNew {
			h.storeProxy.ResetConnections()
		}
	}
	wharfpause.For(ctx, duration)
	for _, h := range hosts {
		h.storeProxy.SetFaults(wharfproxy.Faults{})
	}
}

// withStoreErrors makes calls to the store return the errors of fault for the duration of the event.
func (s *system) withStoreErrors(ctx context.Context, e faultEvent, fault func(call string) error) {
	defer s.storeFaults.begin()()
	s.store.SetFault(fault)
	wharfpause.For(ctx, e.duration)
	s.store.SetFault(nil)
}

// withEndpointProxyFaults applies network faults to the path to an endpoint for the duration of the event.
func (s *system) withEndpointProxyFaults(ctx context.Context, e faultEvent, faults wharfproxy.Faults) {
	ep := s.endpoints[e.endpoint]
	defer ep.faults.begin()()
	ep.proxy.SetFaults(faults)
	wharfpause.For(ctx, e.duration)
	ep.proxy.SetFaults(wharfproxy.Faults{})
}

// withEndpointFaults makes an endpoint itself misbehave for the duration of the event, beyond its usual faults.
func (s *system) withEndpointFaults(ctx context.Context, e faultEvent, misbehave func(*wharfstandin.Faults)) {
	ep := s.endpoints[e.endpoint]
	defer ep.faults.begin()()
	faults := s.usualFaults()
	misbehave(&faults)
	ep.current().SetFaults(faults)
	wharfpause.For(ctx, e.duration)
	ep.current().SetFaults(s.usualFaults())
}

// crashEndpoint stops an endpoint abruptly. Its row is removed after crashedRowDelay, and a new endpoint later starts
// at the same address.
func (s *system) crashEndpoint(ctx context.Context, e faultEvent) {
	ep := s.endpoints[e.endpoint]
	defer ep.faults.begin()()
	ep.mu.Lock()
	if ep.down {
		ep.mu.Unlock()
		return
	}
	ep.down = true
	crashed := ep.instances[len(ep.instances)-1]
	ep.mu.Unlock()
	ep.proxy.SetFaults(wharfproxy.Faults{ResetNew: true})
	ep.proxy.ResetConnections()
	crashed.Stop()
	wharfpause.For(ctx, crashedRowDelay)
	if err := crashed.Deregister(); err != nil {
		s.findings.add("could not remove the row of endpoint %s: %v", crashed.ID, err)
	}
	wharfpause.For(ctx, e.duration)
	ep.proxy.SetFaults(wharfproxy.Faults{})
	if err := s.startEndpoint(ep, e.endpoint); err != nil {
		s.findings.add("could not restart endpoint %d: %v", e.endpoint, err)
	}
}

func (s *system) applyKeyRevocation(revoked bool) {
	if err := s.setKeyRevoked(revoked); err != nil {
		s.findings.add("could not write the configuration: %v", err)
	}
}

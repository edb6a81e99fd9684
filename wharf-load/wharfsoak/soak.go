package wharfsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// recoveryLimit is the time from the last fault within which every host must serve again. The users require it.
	recoveryLimit = 15 * time.Second
	// completionLimit is the time after the end of traffic within which every item of an accepted job must have a
	// result: the users' limit of 18 s plus the 5 s without faults that they wait before they check.
	completionLimit = 23 * time.Second
	// recoveredTrafficTime is how long requests are sent once every host serves again; minServedShare of them must be
	// served.
	recoveredTrafficTime = 2 * time.Second
	// pollInterval is the interval at which conditions are polled.
	pollInterval = 100 * time.Millisecond
)

// ErrViolation is returned when a guarantee was violated; Result.Findings lists the violations.
var ErrViolation = errors.New("guarantees were violated")

// Options configures a run; everything else is drawn from the seed.
type Options struct {
	BinDir    string // directory of the binaries
	WorkDir   string // directory for settings and logs
	Seed      uint64
	Hosts     int
	Endpoints int
	Duration  time.Duration // period during which faults start
	// MaxMeshPeers is the daemons' setting of that name; with 0 or 1 they allocate slots as in large fleets.
	MaxMeshPeers int
	// Evacuations adds evacuations of zones to the faults of the seed.
	Evacuations bool
	// Cold makes endpoints cold after each start and after each evacuation of their zone.
	Cold bool
}

// Result summarizes a run.
type Result struct {
	Seed     uint64
	Duration time.Duration
	Requests int
	Served   int
	Refused  int
	Jobs     int
	// Recovered is how many of the requests after the recovery of all hosts were served, such as "99 of 100".
	Recovered string
	// TakenUp is how many of the streams that callers took up went on to their end, such as "9 of 10".
	TakenUp  string
	Faults   []string // in order of start time
	Findings []string // violated guarantees
}

// Run executes the run of one seed. The error wraps ErrViolation if a guarantee was violated; the result is nil if the
// system could not be started.
func Run(ctx context.Context, options Options) (*Result, error) {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := startSystem(ctx, options)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", options.Seed, err)
	}
	defer s.stop()
	rng := newRand(options.Seed)
	t := newTraffic(s, rng)
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { t.run(trafficCtx) })
	events := scheduleFaults(rng, s)
	s.injectFaults(ctx, events)
	s.clearFaults(ctx)
	s.awaitWarm(ctx)
	s.awaitRecovery(ctx)
	recoveredAt := time.Now()
	wharfpause.For(ctx, recoveredTrafficTime)
	stopTraffic()
	load.Wait()
	t.awaitJobs(ctx)
	t.check(recoveredAt)
	return t.summarize(events, time.Since(start))
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

func (t *traffic) summarize(events []faultEvent, duration time.Duration) (*Result, error) {
	r := &Result{
		Seed: t.system.options.Seed, Duration: duration, Requests: len(t.requests), Jobs: len(t.jobs),
		Recovered: t.recovered.String(), Findings: t.system.findings.list(),
		TakenUp: fmt.Sprintf("%d of %d", t.continued, len(t.takeUps)),
	}
	for _, request := range t.requests {
		switch {
		case request.response.Err == nil && request.response.Status == http.StatusOK:
			r.Served++
		case guaranteesNotRun(request.response.Status):
			r.Refused++
		}
	}
	for _, e := range events {
		r.Faults = append(r.Faults, e.String())
	}
	if len(r.Findings) > 0 {
		return r, fmt.Errorf("seed %d: %w", r.Seed, ErrViolation)
	}
	return r, nil
}

// awaitRecovery waits until every host serves requests, and reports those that do not within recoveryLimit.
func (s *system) awaitRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryLimit)
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		wg.Go(func() {
			for i := 0; ; i++ {
				id := fmt.Sprintf("recovery-%s-%d", h.name, i)
				if response := s.caller(unlimitedKey).Send(ctx, h.callerAddress, http.MethodPost, "/open/"+id, id,
					""); response.Status == http.StatusOK && response.Err == nil {
					return
				}
				if time.Now().After(deadline) {
					s.findings.add("%s does not serve requests %v after the last fault", h.name, recoveryLimit)
					return
				}
				if !wharfpause.For(ctx, pollInterval) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// findings collects violated guarantees; it is safe for concurrent use.
type findings struct {
	mu       sync.Mutex
	messages []string
}

// maxFindings is the maximum number of findings that a run reports.
const maxFindings = 50

func (f *findings) add(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.messages) < maxFindings {
		f.messages = append(f.messages, fmt.Sprintf(format, arguments...))
	}
}

func (f *findings) list() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.messages)
}

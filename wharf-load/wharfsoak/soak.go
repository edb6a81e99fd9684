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
	// recoverLimit is the time after the last fault within which every host serves again, finishLimit the one within
	// which every item of an accepted job is listed: the users' bounds, 18 s and the 5 s of calm before they look.
	recoverLimit = 15 * time.Second
	finishLimit  = 23 * time.Second
	// calmTime is how long requests are sent once every host serves, of which servedShare has to be served.
	calmTime = 2 * time.Second
	// lookPause is the pause between two looks whether something has come about.
	lookPause = 100 * time.Millisecond
)

// ErrViolation says that a promise was broken; the result says which.
var ErrViolation = errors.New("promises were broken")

// Options are what a run is made of; the seed draws everything else.
type Options struct {
	BinDir    string // folder of the programs
	WorkDir   string // folder for settings and logs
	Seed      uint64
	Hosts     int
	Endpoints int
	Duration  time.Duration // of the time in which faults begin
}

// Result is what a run has brought.
type Result struct {
	Seed     uint64
	Duration time.Duration
	Requests int
	Served   int
	Refused  int
	Jobs     int
	Faults   []string // faults in the order in which they began
	Findings []string // promises that were broken
}

// Run plays one seed; the error is ErrBroken, or says why the run could not be played.
func Run(ctx context.Context, options Options) (*Result, error) {
	begun := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := start(ctx, options)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", options.Seed, err)
	}
	defer s.end()
	random := newRandom(options.Seed)
	t := newTraffic(s, random)
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { t.serve(trafficCtx) })
	events := draw(random, s)
	s.play(ctx, events)
	s.clearFaults(ctx)
	s.awaitRecovery(ctx)
	calm := time.Now()
	wharfpause.For(ctx, calmTime)
	stopTraffic()
	load.Wait()
	t.finishJobs(ctx)
	t.check(calm)
	return t.result(events, time.Since(begun))
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

func (t *traffic) result(events []event, took time.Duration) (*Result, error) {
	r := &Result{Seed: t.site.options.Seed, Duration: took, Requests: len(t.requests), Jobs: len(t.jobs), Findings: t.site.findings.list()}
	for _, request := range t.requests {
		switch {
		case request.answer.Err == nil && request.answer.Status == http.StatusOK:
			r.Served++
		case promisesNotRun(request.answer.Status):
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

// awaitRecovery waits until every host serves, and reports those that don't in time.
func (s *site) awaitRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoverLimit)
	var waits sync.WaitGroup
	for _, h := range s.hosts {
		waits.Go(func() {
			for i := 0; ; i++ {
				id := fmt.Sprintf("recovery-%s-%d", h.name, i)
				if a := s.caller(lasting).Send(ctx, h.callers, http.MethodPost, "/open/"+id, id, ""); a.Status == http.StatusOK && a.Err == nil {
					return
				}
				if time.Now().After(deadline) {
					s.findings.add("%s does not serve %v after the last fault", h.name, recoverLimit)
					return
				}
				if !wharfpause.For(ctx, lookPause) {
					return
				}
			}
		})
	}
	waits.Wait()
}

// findings are the promises that were broken; it is safe for concurrent use.
type findings struct {
	mu   sync.Mutex
	text []string
}

// mostFindings bounds what one run reports.
const mostFindings = 50

func (f *findings) add(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.text) < mostFindings {
		f.text = append(f.text, fmt.Sprintf(format, arguments...))
	}
}

func (f *findings) list() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.text)
}

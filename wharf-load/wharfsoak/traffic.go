package wharfsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// requestInterval is the mean interval between requests of one caller to one host. The limited organisation sends
	// three times its rate over all hosts.
	requestInterval = 120 * time.Millisecond
	// idleCallers is the number of callers, at least one of each host, that keep a connection idle for idleInterval on
	// average, so that some use it at any time of a planned stop until the process is gone.
	idleCallers  = 32
	idleInterval = 3 * time.Second
	// clientTimeout is the request timeout of callers, longer than the time that a host may take.
	clientTimeout = 8 * time.Second
	requestBody   = "question"
)

// traffic generates requests and jobs, and records the responses.
type traffic struct {
	system   *system
	mu       sync.Mutex
	rng      *rand.Rand
	requests []*request
	jobs     []*job
	// recovered counts the requests that were sent after all hosts had recovered.
	recovered servedShare
	lastID    atomic.Int64
	takeUps   []takeUp
	continued int // take-ups that went on to the end of the stream
}

// request is a request and its response.
type request struct {
	id                 string
	route              string
	organisation       string
	key                string
	host               *host
	startedAt, endedAt time.Time
	response           wharfstandin.Response
}

func newTraffic(s *system, rng *rand.Rand) *traffic {
	return &traffic{system: s, rng: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))}
}

// randomInt returns a number in [0, n). Callers run concurrently, so the seed does not determine which of them gets
// which number.
func (t *traffic) randomInt(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.IntN(n)
}

// run sends requests and jobs until ctx is done, and returns once all have been answered.
func (t *traffic) run(ctx context.Context) {
	var callers sync.WaitGroup
	for _, h := range t.system.hosts {
		for _, route := range []string{"resume", "once"} {
			callers.Go(func() { t.sendRequests(ctx, h, route, "lasting", unlimitedKey, requestInterval) })
		}
		for range max(1, idleCallers/len(t.system.hosts)) {
			callers.Go(func() { t.sendRequests(ctx, h, "once", "lasting", unlimitedKey, idleInterval) })
		}
		callers.Go(func() { t.sendRequests(ctx, h, "open", "", "", 3*requestInterval) })
		callers.Go(func() { t.sendRequests(ctx, h, "resume", "passing", revocableKey, 2*requestInterval) })
		callers.Go(func() { t.sendRequests(ctx, h, "resume", "", "unknown-key", 10*requestInterval) })
		callers.Go(func() { t.misuse(ctx, h) })
		limitedInterval := time.Duration(len(t.system.hosts)) * time.Second / (3 * limitRate)
		callers.Go(func() { t.sendRequests(ctx, h, "resume", "limited", limitedKey, limitedInterval) })
	}
	callers.Go(func() { t.submitJobs(ctx, &callers) })
	callers.Go(func() { t.readJobs(ctx) })
	callers.Wait()
}

// sendRequests sends requests to a host over persistent connections until ctx is done, without waiting for earlier
// responses.
func (t *traffic) sendRequests(ctx context.Context, h *host, route, organisation, key string, interval time.Duration) {
	caller := t.system.caller(key)
	var running sync.WaitGroup
	for wharfpause.For(ctx, interval/2+time.Duration(t.randomInt(int(interval)))) {
		r := &request{route: route, organisation: organisation, key: key, host: h}
		r.id = fmt.Sprintf("%s-%d", route, t.lastID.Add(1))
		running.Go(func() {
			requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clientTimeout)
			defer cancel()
			r.startedAt = time.Now()
			r.response = caller.Send(requestCtx, h.callerAddress, http.MethodPost, "/"+route+"/"+r.id, r.id,
				requestBody)
			r.endedAt = time.Now()
			t.mu.Lock()
			t.requests = append(t.requests, r)
			t.mu.Unlock()
			if last := wharfstandin.LastEvent(r.response.Body); r.response.Err != nil && last > 0 && route != "once" {
				t.takeUpStream(requestCtx, caller, r, last)
			}
		})
	}
	running.Wait()
}

// takeUp is an attempt to continue a stream that broke off.
type takeUp struct {
	id        string
	stream    *request
	host      *host // that was asked
	lastEvent int
	response  wharfstandin.Response
}

// takeUpStream asks another host to continue a stream after the last event that arrived.
func (t *traffic) takeUpStream(ctx context.Context, caller *wharfstandin.Caller, r *request, last int) {
	to := t.system.hosts[t.randomInt(len(t.system.hosts))]
	a := takeUp{id: fmt.Sprintf("again-%s", r.id), stream: r, host: to, lastEvent: last}
	a.response = caller.TakeUp(ctx, to.callerAddress, "/"+r.route+"/"+a.id, a.id, r.id, last)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeUps = append(t.takeUps, a)
}

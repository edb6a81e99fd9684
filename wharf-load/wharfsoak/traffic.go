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
	// requestGap is the mean time between two requests of one caller at one host; the limited organisation's callers
	// send three times as many as it may.
	requestGap = 120 * time.Millisecond
	// answerLimit is the time after which a caller gives up, longer than a host may take.
	answerLimit = 8 * time.Second
	requestBody = "question"
)

// traffic are the callers of a site and what they have got.
type traffic struct {
	site     *site
	mu       sync.Mutex
	random   *rand.Rand
	requests []*request
	jobs     []*job
	number   atomic.Int64
}

// request is one request with its answer.
type request struct {
	id           string
	route        string
	organisation string
	key          string
	host         *host
	begun, ended time.Time
	answer       wharfstandin.Response
}

func newTraffic(s *site, random *rand.Rand) *traffic {
	return &traffic{site: s, random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))}
}

// draw returns a number below n; the callers' order of asking is not the seed's.
func (t *traffic) draw(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

// serve sends requests and jobs until ctx ends, and returns once all are answered.
func (t *traffic) serve(ctx context.Context) {
	var callers sync.WaitGroup
	for _, h := range t.site.hosts {
		for _, route := range []string{"resume", "once"} {
			callers.Go(func() { t.send(ctx, h, route, "lasting", lasting, requestGap) })
		}
		callers.Go(func() { t.send(ctx, h, "open", "", "", 3*requestGap) })
		callers.Go(func() { t.send(ctx, h, "resume", "passing", passing, 2*requestGap) })
		callers.Go(func() { t.send(ctx, h, "resume", "", "unknown-key", 10*requestGap) })
		gap := time.Duration(len(t.site.hosts)) * time.Second / (3 * limitRate)
		callers.Go(func() { t.send(ctx, h, "resume", "limited", limited, gap) })
	}
	callers.Go(func() { t.submitJobs(ctx, &callers) })
	callers.Go(func() { t.readJobs(ctx) })
	callers.Wait()
}

// send sends requests to a host over connections that stay open, each without waiting for the one before.
func (t *traffic) send(ctx context.Context, h *host, route, organisation, key string, gap time.Duration) {
	caller := t.site.caller(key)
	var running sync.WaitGroup
	for wharfpause.For(ctx, gap/2+time.Duration(t.draw(int(gap)))) {
		r := &request{route: route, organisation: organisation, key: key, host: h}
		r.id = fmt.Sprintf("%s-%d", route, t.number.Add(1))
		running.Go(func() {
			limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerLimit)
			defer cancel()
			r.begun = time.Now()
			r.answer = caller.Send(limited, h.callers, http.MethodPost, "/"+route+"/"+r.id, r.id, requestBody)
			r.ended = time.Now()
			t.mu.Lock()
			defer t.mu.Unlock()
			t.requests = append(t.requests, r)
		})
	}
	running.Wait()
}

package wharfsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	jobGap   = 1200 * time.Millisecond
	jobItems = 8
	// impossibleShare is one in so many items, endedShare one in so many jobs.
	impossibleShare = 8
	endedShare      = 6
	endAfter        = time.Second
	// attempts is how often a caller hands a job in before it gives up, with attemptPause between two.
	attempts     = 8
	attemptPause = 500 * time.Millisecond
	readGap      = 400 * time.Millisecond
	readLimit    = 3 * time.Second
	// settleTime is how long after its acceptance a job may be unknown at other hosts, endTime how long after the end
	// of a job its items may be started.
	settleTime = time.Second
	endTime    = 3 * time.Second
)

// job is a batch job with what its callers have seen; the lock of the traffic guards it.
type job struct {
	id       string
	items    []wharfstandin.Item
	accepted time.Time // zero while no host has accepted it
	promised bool      // each answer promised that nothing of it runs
	ended    time.Time // acknowledgement of its end
	results  []wharfstandin.JobResult
}

func (t *traffic) submitJobs(ctx context.Context, callers *sync.WaitGroup) {
	for wharfpause.For(ctx, jobGap/2+time.Duration(t.draw(int(jobGap)))) {
		j := &job{id: fmt.Sprint("job-", t.number.Add(1)), promised: true}
		for i := range jobItems {
			body := fmt.Sprintf("body %d", i)
			if t.draw(impossibleShare) == 0 {
				body = impossible
			}
			j.items = append(j.items, wharfstandin.Item{ID: fmt.Sprintf("%s-%d", j.id, i), Body: body})
		}
		ends := t.draw(endedShare) == 0
		callers.Go(func() { t.submit(context.WithoutCancel(ctx), j, ends) })
	}
}

func (t *traffic) anyHost() *host {
	return t.site.hosts[t.draw(len(t.site.hosts))]
}

func (t *traffic) submit(ctx context.Context, j *job, ends bool) {
	caller := t.site.caller(lasting)
	t.mu.Lock()
	t.jobs = append(t.jobs, j)
	t.mu.Unlock()
	for range attempts {
		a := t.within(ctx, func(ctx context.Context) wharfstandin.Response {
			return caller.SubmitJob(ctx, t.anyHost().callers, j.id, j.items)
		})
		if a.Status == http.StatusAccepted {
			t.mu.Lock()
			j.accepted = time.Now()
			t.mu.Unlock()
			break
		}
		t.mu.Lock()
		j.promised = j.promised && promisesNotRun(a.Status)
		t.mu.Unlock()
		wharfpause.For(ctx, max(attemptPause, a.RetryAfter))
	}
	if !ends || j.accepted.IsZero() {
		return
	}
	wharfpause.For(ctx, endAfter)
	for range attempts {
		a := t.within(ctx, func(ctx context.Context) wharfstandin.Response {
			return caller.CancelJob(ctx, t.anyHost().callers, j.id)
		})
		if a.Status == http.StatusOK {
			t.mu.Lock()
			defer t.mu.Unlock()
			j.ended = time.Now()
			return
		}
		wharfpause.For(ctx, attemptPause)
	}
}

func (t *traffic) within(ctx context.Context, call func(ctx context.Context) wharfstandin.Response) wharfstandin.Response {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	return call(ctx)
}

// acceptedJobs returns the jobs that a host has accepted.
func (t *traffic) acceptedJobs() []*job {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*job
	for _, j := range t.jobs {
		if !j.accepted.IsZero() {
			list = append(list, j)
		}
	}
	return list
}

func (t *traffic) readJobs(ctx context.Context) {
	for wharfpause.For(ctx, readGap) {
		if list := t.acceptedJobs(); len(list) > 0 {
			t.read(context.WithoutCancel(ctx), list[t.draw(len(list))], t.anyHost())
		}
	}
}

// read reads a job from its start at a host, compares the results with those seen before, and reports whether the host
// has answered.
func (t *traffic) read(ctx context.Context, j *job, h *host) bool {
	begun := time.Now()
	caller := t.site.caller(lasting)
	var page wharfstandin.JobPage
	a := t.within(ctx, func(ctx context.Context) wharfstandin.Response {
		var a wharfstandin.Response
		page, a = caller.ReadResults(ctx, h.callers, j.id, 0, 0)
		return a
	})
	if a.Status == http.StatusNotFound && t.site.undisturbed(h, begun, time.Now()) && begun.After(j.accepted.Add(settleTime)) {
		t.site.findings.add("%s does not know job %s, accepted %v before", h.name, j.id, begun.Sub(j.accepted).Round(time.Millisecond))
	}
	if a.Status != http.StatusOK || a.Err != nil {
		return false
	}
	t.compare(j, h, page)
	return true
}

func (t *traffic) compare(j *job, h *host, page wharfstandin.JobPage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Total != len(j.items) {
		t.site.findings.add("%s says that %s has %d items; it has %d", h.name, j.id, page.Total, len(j.items))
	}
	both := min(len(page.Results), len(j.results))
	if !slices.Equal(page.Results[:both], j.results[:both]) {
		t.site.findings.add("results of %s at %s are not those read before: %v, before %v", j.id, h.name, page.Results[:both], j.results[:both])
		return
	}
	if len(page.Results) > len(j.results) {
		j.results = page.Results
	}
}

// finishJobs waits until every open job is listed whole, and reads each once more at every host.
func (t *traffic) finishJobs(ctx context.Context) {
	deadline := time.Now().Add(finishLimit)
	for _, j := range t.acceptedJobs() {
		for j.ended.IsZero() && len(j.results) < len(j.items) {
			t.read(ctx, j, t.anyHost())
			if time.Now().After(deadline) {
				t.site.findings.add("%s lists %d of %d items %v after traffic has ended", j.id, len(j.results), len(j.items), finishLimit)
				break
			}
			wharfpause.For(ctx, lookPause)
		}
	}
	wharfpause.For(ctx, settleTime)
	for _, j := range t.acceptedJobs() {
		for _, h := range t.site.hosts {
			seen := len(j.results)
			if !t.read(ctx, j, h) {
				t.site.findings.add("%s can't be read at %s after the run", j.id, h.name)
			}
			if len(j.results) > seen && j.ended.IsZero() {
				t.site.findings.add("%s lists %d items of %s, others %d", h.name, len(j.results), j.id, seen)
			}
		}
	}
}

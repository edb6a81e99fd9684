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
	// jobInterval is the mean interval between job submissions; each job has jobItems items.
	jobInterval = 1200 * time.Millisecond
	jobItems    = 8
	// One in rejectedItemOdds items has a body that endpoints reject; one in cancelledJobOdds jobs is cancelled.
	rejectedItemOdds = 8
	cancelledJobOdds = 6
	// cancelDelay is the time from the acceptance of a job to its cancellation.
	cancelDelay = time.Second
	// maxCallAttempts is how often a caller submits or cancels a job, at intervals of at least retryInterval.
	maxCallAttempts = 8
	retryInterval   = 500 * time.Millisecond
	// readInterval is the interval at which callers read the results of random jobs.
	readInterval = 400 * time.Millisecond
	// callTimeout is the timeout of calls about jobs.
	callTimeout = 3 * time.Second
	// visibilityLimit is how long after its acceptance a job may be unknown at other hosts, cancelLimit how long after
	// the cancellation of a job its items may still be started.
	visibilityLimit = time.Second
	cancelLimit     = 3 * time.Second
)

// job is a batch job and what its callers have observed, guarded by traffic.mu.
type job struct {
	id               string
	items            []wharfstandin.Item
	acceptedAt       time.Time // zero until a host has accepted it
	guaranteedNotRun bool      // every response so far guaranteed that no item runs
	cancelledAt      time.Time // when the cancellation was acknowledged; zero before
	results          []wharfstandin.JobResult
}

// submitJobs submits jobs until ctx is done, some of which are cancelled again.
func (t *traffic) submitJobs(ctx context.Context, callers *sync.WaitGroup) {
	for wharfpause.For(ctx, jobInterval/2+time.Duration(t.randomInt(int(jobInterval)))) {
		j := &job{id: fmt.Sprint("job-", t.lastID.Add(1)), guaranteedNotRun: true}
		for i := range jobItems {
			body := fmt.Sprintf("body %d", i)
			if t.randomInt(rejectedItemOdds) == 0 {
				body = rejectedBody
			}
			j.items = append(j.items, wharfstandin.Item{ID: fmt.Sprintf("%s-%d", j.id, i), Body: body})
		}
		cancels := t.randomInt(cancelledJobOdds) == 0
		callers.Go(func() { t.submitJob(context.WithoutCancel(ctx), j, cancels) })
	}
}

func (t *traffic) randomHost() *host {
	return t.system.hosts[t.randomInt(len(t.system.hosts))]
}

// submitJob submits a job to random hosts until one accepts it, and then cancels it if cancels is set.
func (t *traffic) submitJob(ctx context.Context, j *job, cancels bool) {
	caller := t.system.caller(unlimitedKey)
	t.mu.Lock()
	t.jobs = append(t.jobs, j)
	t.mu.Unlock()
	for range maxCallAttempts {
		response := t.callWithTimeout(ctx, func(ctx context.Context) wharfstandin.Response {
			return caller.SubmitJob(ctx, t.randomHost().callerAddress, j.id, j.items)
		})
		if response.Status == http.StatusAccepted {
			t.mu.Lock()
			j.acceptedAt = time.Now()
			t.mu.Unlock()
			break
		}
		t.mu.Lock()
		j.guaranteedNotRun = j.guaranteedNotRun && guaranteesNotRun(response.Status)
		t.mu.Unlock()
		wharfpause.For(ctx, max(retryInterval, response.RetryAfter))
	}
	if !cancels || j.acceptedAt.IsZero() {
		return
	}
	wharfpause.For(ctx, cancelDelay)
	for range maxCallAttempts {
		response := t.callWithTimeout(ctx, func(ctx context.Context) wharfstandin.Response {
			return caller.CancelJob(ctx, t.randomHost().callerAddress, j.id)
		})
		if response.Status == http.StatusOK {
			t.mu.Lock()
			defer t.mu.Unlock()
			j.cancelledAt = time.Now()
			return
		}
		wharfpause.For(ctx, retryInterval)
	}
}

func (t *traffic) callWithTimeout(
	ctx context.Context, call func(ctx context.Context) wharfstandin.Response,
) wharfstandin.Response {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

// acceptedJobs returns the jobs that some host has accepted.
func (t *traffic) acceptedJobs() []*job {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*job
	for _, j := range t.jobs {
		if !j.acceptedAt.IsZero() {
			list = append(list, j)
		}
	}
	return list
}

// readJobs reads random accepted jobs from random hosts until ctx is done.
func (t *traffic) readJobs(ctx context.Context) {
	for wharfpause.For(ctx, readInterval) {
		if list := t.acceptedJobs(); len(list) > 0 {
			t.readJob(context.WithoutCancel(ctx), list[t.randomInt(len(list))], t.randomHost())
		}
	}
}

// readJob reads all results of a job from a host, compares them with those read before, and reports whether the host
// returned them.
func (t *traffic) readJob(ctx context.Context, j *job, h *host) bool {
	start := time.Now()
	caller := t.system.caller(unlimitedKey)
	var page wharfstandin.JobPage
	response := t.callWithTimeout(ctx, func(ctx context.Context) wharfstandin.Response {
		var response wharfstandin.Response
		page, response = caller.ReadResults(ctx, h.callerAddress, j.id, 0, 0)
		return response
	})
	if response.Status == http.StatusNotFound && t.system.faultFree(h, start, time.Now()) &&
		start.After(j.acceptedAt.Add(visibilityLimit)) {
		t.system.findings.add("%s does not know job %s, which was accepted %v earlier", h.name, j.id,
			start.Sub(j.acceptedAt).Round(time.Millisecond))
	}
	if response.Status != http.StatusOK || response.Err != nil {
		return false
	}
	t.compareResults(j, h, page)
	return true
}

// compareResults checks that the results a host returned extend those read before, and keeps the longer list.
func (t *traffic) compareResults(j *job, h *host, page wharfstandin.JobPage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Total != len(j.items) {
		t.system.findings.add("%s reports %s with %d items, want %d", h.name, j.id, page.Total, len(j.items))
	}
	common := min(len(page.Results), len(j.results))
	if !slices.Equal(page.Results[:common], j.results[:common]) {
		t.system.findings.add("results of %s at %s differ from those read before: %v, before %v", j.id, h.name,
			page.Results[:common], j.results[:common])
		return
	}
	if len(page.Results) > len(j.results) {
		j.results = page.Results
	}
}

// awaitJobs waits until every job that was not cancelled has all its results, then reads each job from every host.
func (t *traffic) awaitJobs(ctx context.Context) {
	deadline := time.Now().Add(completionLimit)
	for _, j := range t.acceptedJobs() {
		for j.cancelledAt.IsZero() && len(j.results) < len(j.items) {
			t.readJob(ctx, j, t.randomHost())
			if time.Now().After(deadline) {
				t.system.findings.add("%s has %d of %d results %v after the end of traffic", j.id, len(j.results),
					len(j.items), completionLimit)
				break
			}
			wharfpause.For(ctx, pollInterval)
		}
	}
	wharfpause.For(ctx, visibilityLimit)
	for _, j := range t.acceptedJobs() {
		for _, h := range t.system.hosts {
			seen := len(j.results)
			if !t.readJob(ctx, j, h) {
				t.system.findings.add("could not read %s from %s after the run", j.id, h.name)
			}
			if len(j.results) > seen && j.cancelledAt.IsZero() {
				t.system.findings.add("%s lists %d results of %s, other hosts %d", h.name, len(j.results), j.id, seen)
			}
		}
	}
}

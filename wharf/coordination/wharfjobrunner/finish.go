package wharfjobrunner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharftask"
	"wagtailwharf.example/wharf/state/wharfverdict"
)

// pendingResult is a result with its item.
type pendingResult struct {
	result wharftask.Result
	item   *item
}

// attemptDone takes over what an attempt has brought.
func (r *Runner) attemptDone(route *wharfroute.Route, i *item, placement *wharffleet.Placement, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i.cancel = nil
	i.text = append(i.text, outcome.Text...)
	if outcome.Events > 0 {
		i.lastEvent = outcome.LastEvent
		i.events += outcome.Events
		i.runTime += time.Since(i.started)
	}
	next := r.handleOutcome(route, i, placement, outcome)
	reason := ""
	if outcome.Err != nil {
		reason = outcome.Err.Error()
	}
	klog.InfoS("batch item attempted", "request-id", i.ID, "job", i.job.job.ID, "organisation", i.job.job.Organisation,
		"endpoint", placement.Endpoint.ID, "verdict", outcome.Verdict.String(), "status", outcome.Status, "next", next,
		"events", i.events, "failures", i.failures, "breaks", i.breaks, "ran", time.Since(i.started).String(), "error", reason)
}

// handleOutcome decides what follows an attempt and returns its name for the log; the lock is held.
func (r *Runner) handleOutcome(route *wharfroute.Route, i *item, placement *wharffleet.Placement, outcome Outcome) string {
	now := time.Now()
	switch {
	case outcome.Verdict == 0 && outcome.Status < http.StatusMultipleChoices:
		placement.Succeed()
		r.updateTimePerToken(i)
		r.recordResult(i, wharftask.Result{ItemID: i.ID, Completed: true, Output: string(i.text)})
		return "completed"
	case outcome.Verdict == 0 && outcome.Status == http.StatusUnprocessableEntity:
		placement.Succeed()
		r.recordResult(i, wharftask.Result{ItemID: i.ID, Reason: "the endpoint can not do it"})
		return "given-up"
	case outcome.Verdict == wharfverdict.Failed:
		i.failures++
		if i.failures >= max(1, route.MaxAttempts) {
			r.recordResult(i, wharftask.Result{ItemID: i.ID, Reason: "the endpoints failed"})
			return "given-up"
		}
		i.notBefore = now.Add(retryDelay)
		return "again"
	case outcome.Verdict == wharfverdict.CallerGone:
		return "resume"
	case outcome.Verdict == wharfverdict.Broken:
		i.breaks++
		if outcome.Events > 0 {
			i.breaks = 1 // it has run on, so it is not what breaks endpoints at their start
		}
		i.notBefore = now.Add(i.breakBackoff())
	}
	if outcome.Verdict != 0 && outcome.Verdict.EndpointFault() {
		placement.Fail(outcome.Verdict)
	}
	if pause := now.Add(retryDelay); i.notBefore.Before(pause) {
		i.notBefore = pause
	}
	return "resume"
}

// breakBackoff returns how long an item is kept back under which endpoints have broken: it may be what breaks them, or
// something may have cut the connections. One that has brought events before is the less likely cause.
func (i *item) breakBackoff() time.Duration {
	doublings := i.breaks - 1
	if i.events == 0 {
		doublings *= 2
	}
	return min(minBreakBackoff<<min(doublings, maxDoublings), maxBreakBackoff)
}

// maxDoublings takes the first pause past the longest.
const maxDoublings = 8

// suspectedCrasher reports whether so many endpoints have broken under an item that never ran that it is taken for the cause.
func (i *item) suspectedCrasher() bool {
	return i.events == 0 && i.breaks >= maxBreaks
}

// updateTimePerToken takes over how long a whole item has run; the lock is held.
func (r *Runner) updateTimePerToken(i *item) {
	if i.Tokens > 0 && i.runTime > 0 {
		r.timePerToken = time.Duration(timePerTokenSmoothing*float64(r.timePerToken) + (1-timePerTokenSmoothing)*float64(i.runTime)/float64(i.Tokens))
	}
}

// recordResult keeps an item's result until it is listed; the lock is held.
func (r *Runner) recordResult(i *item, result wharftask.Result) {
	i.finished = true
	i.text = nil
	i.job.unlisted = append(i.job.unlisted, pendingResult{result, i})
	if len(i.job.unlisted) == 1 {
		i.job.unlistedSince = time.Now()
	}
}

func resultsOf(done []pendingResult) []wharftask.Result {
	var results []wharftask.Result
	for _, p := range done {
		results = append(results, p.result)
	}
	return results
}

// listResults writes results that have waited for long enough, and those of jobs that nothing else is to come of.
func (r *Runner) listResults(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.jobs {
		if w.writing || len(w.unlisted) == 0 {
			continue
		}
		complete := len(w.job.Listed)+len(w.unlisted) >= len(w.job.ItemTokens)
		if !complete && time.Since(w.unlistedSince) < resultBatchDelay {
			continue
		}
		w.writing = true
		done := w.unlisted
		r.goroutines.Go(func() { r.writeResults(ctx, w, done) })
	}
}

func (r *Runner) writeResults(ctx context.Context, w *activeJob, done []pendingResult) {
	r.mu.Lock()
	job := w.job
	r.mu.Unlock()
	listed, err := r.options.Jobs.AppendResults(ctx, job, resultsOf(done))
	r.mu.Lock()
	defer r.mu.Unlock()
	w.writing = false
	if errors.Is(err, wharfjobstore.ErrOwnershipLost) {
		w.unlisted = nil
		klog.InfoS("results not listed", "request-id", job.ID, "reason", "the job has ended or runs elsewhere", "row-version", job.Version)
		return
	}
	if err != nil {
		w.unlistedSince = time.Now()
		klog.InfoS("results not listed yet", "request-id", job.ID, "results", len(done), "error", err.Error())
		return
	}
	w.unlisted = w.unlisted[len(done):]
	w.unlistedSince = time.Now()
	if listed.Version > w.job.Version {
		w.job = listed
	}
	klog.InfoS("results listed", "request-id", job.ID, "organisation", job.Organisation, "results", len(done),
		"listed", len(listed.Listed), "items", len(listed.ItemTokens), "row-version", listed.Version)
}

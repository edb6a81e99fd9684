package wharfjobrunner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharftask"
)

// pendingResult is a result that is not written to the store yet, with its item.
type pendingResult struct {
	result wharftask.Result
	item   *item
}

// attemptDone records the output of an attempt and decides what follows.
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
		"endpoint", placement.Endpoint.ID, "verdict", outcome.Outcome.String(), "status", outcome.Status, "next", next,
		"events", i.events, "failures", i.failures, "breaks", i.breaks, "ran", time.Since(i.started).String(), "error", reason)
}

// handleOutcome decides what follows an attempt and returns the decision for the log. The caller holds r.mu.
func (r *Runner) handleOutcome(route *wharfroute.Route, i *item, placement *wharffleet.Placement, outcome Outcome) string {
	now := time.Now()
	switch {
	case outcome.Outcome == 0 && outcome.Status < http.StatusMultipleChoices:
		placement.Succeed()
		r.updateTimePerToken(i)
		r.recordResult(i, wharftask.Result{ItemID: i.ID, Completed: true, Output: string(i.text)})
		return "completed"
	case outcome.Outcome == 0 && outcome.Status == http.StatusUnprocessableEntity:
		placement.Succeed()
		r.recordResult(i, wharftask.Result{ItemID: i.ID, Reason: "the endpoint can not do it"})
		return "given-up"
	case outcome.Outcome == wharfoutcome.Failed:
		i.failures++
		if i.failures >= max(1, route.MaxAttempts) {
			r.recordResult(i, wharftask.Result{ItemID: i.ID, Reason: "the endpoints failed"})
			return "given-up"
		}
		i.notBefore = now.Add(retryDelay)
		return "again"
	case outcome.Outcome == wharfoutcome.CallerGone:
		return "resume"
	case outcome.Outcome == wharfoutcome.ConnectionLost:
		i.breaks++
		if outcome.Events > 0 {
			i.breaks = 1 // the item made progress, so it is not one that crashes endpoints as it starts
		}
		i.notBefore = now.Add(i.breakBackoff())
	}
	if outcome.Outcome != 0 && outcome.Outcome.EndpointFault() {
		placement.Fail(outcome.Outcome)
	}
	if pause := now.Add(retryDelay); i.notBefore.Before(pause) {
		i.notBefore = pause
	}
	return "resume"
}

// breakBackoff returns how long an item waits after a connection broke while it ran: the item may crash endpoints, or
// something else may have cut the connections. An item that has produced events is less likely to be the cause.
func (i *item) breakBackoff() time.Duration {
	doublings := i.breaks - 1
	if i.events == 0 {
		doublings *= 2
	}
	return min(minBreakBackoff<<min(doublings, maxDoublings), maxBreakBackoff)
}

// maxDoublings is enough to raise minBreakBackoff above maxBreakBackoff.
const maxDoublings = 8

// suspectedCrasher reports whether maxBreaks endpoints have broken under an item that never produced an event, so that
// the item is presumed to crash them.
func (i *item) suspectedCrasher() bool {
	return i.events == 0 && i.breaks >= maxBreaks
}

// updateTimePerToken updates the smoothed run time per token from a completed item. The caller holds r.mu.
func (r *Runner) updateTimePerToken(i *item) {
	if i.Tokens > 0 && i.runTime > 0 {
		r.timePerToken = time.Duration(timePerTokenSmoothing*float64(r.timePerToken) +
			(1-timePerTokenSmoothing)*float64(i.runTime)/float64(i.Tokens))
	}
}

// recordResult keeps an item's result until it is written to the store. The caller holds r.mu.
func (r *Runner) recordResult(i *item, result wharftask.Result) {
	i.finished = true
	i.text = nil
	i.job.unlisted = append(i.job.unlisted, pendingResult{result, i})
	if len(i.job.unlisted) == 1 {
		i.job.batchingSince = time.Now()
	}
}

func resultsOf(done []pendingResult) []wharftask.Result {
	var results []wharftask.Result
	for _, p := range done {
		results = append(results, p.result)
	}
	return results
}

// listResults writes results that have been pending for resultBatchDelay, and at once those that complete their job.
func (r *Runner) listResults(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, aj := range r.jobs {
		if aj.writing || len(aj.unlisted) == 0 {
			continue
		}
		complete := len(aj.job.ResultOrder)+len(aj.unlisted) >= len(aj.job.ItemTokens)
		if !complete && time.Since(aj.batchingSince) < resultBatchDelay {
			continue
		}
		aj.writing = true
		done := aj.unlisted
		r.goroutines.Go(func() { r.writeResults(ctx, aj, done) })
	}
}

func (r *Runner) writeResults(ctx context.Context, aj *activeJob, done []pendingResult) {
	r.mu.Lock()
	job := aj.job
	r.mu.Unlock()
	listed, err := r.options.Jobs.AppendResults(ctx, job, resultsOf(done))
	r.mu.Lock()
	defer r.mu.Unlock()
	aj.writing = false
	if errors.Is(err, wharfjobstore.ErrOwnershipLost) {
		aj.unlisted = nil
		klog.InfoS("results discarded", "request-id", job.ID, "reason", "the job has ended or runs on another host",
			"row-version", job.Version)
		return
	}
	if err != nil {
		aj.batchingSince = time.Now()
		klog.InfoS("failed to write results; retrying", "request-id", job.ID, "results", len(done), "error", err.Error())
		return
	}
	aj.unlisted = aj.unlisted[len(done):]
	aj.batchingSince = time.Now()
	if listed.Version > aj.job.Version {
		aj.job = listed
	}
	klog.InfoS("results written", "request-id", job.ID, "organisation", job.Organisation, "results", len(done),
		"listed", len(listed.ResultOrder), "items", len(listed.ItemTokens), "row-version", listed.Version)
}

package wharfjobrunner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharfcall"
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

// attemptDone records the output and the outcome of an attempt.
func (r *Runner) attemptDone(route *wharfroute.Route, i *item, placement *wharffleet.Placement, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i.cancel, i.stopped = nil, time.Now()
	if outcome.Outcome == wharfoutcome.Malformed {
		outcome.Text, outcome.Events = nil, 0 // what came before the nonsense may be nonsense too
	}
	i.text = append(i.text, outcome.Text...)
	if outcome.Overlong {
		i.startAgain("the output is longer than that of the item can be")
	} else if outcome.Events > 0 {
		i.lastEvent = outcome.LastEvent
		i.events += outcome.Events
		i.origin = wharfcall.Origin{Service: placement.Endpoint.Service, Version: placement.Endpoint.Version}
		i.runTime += time.Since(i.started)
	}
	r.options.Paces.Learn(placement.Sample(outcome.Events, outcome.EventSpan))
	next := r.handleOutcome(route, i, placement, outcome)
	reason := ""
	if outcome.Err != nil {
		reason = outcome.Err.Error()
	}
	klog.InfoS("batch item attempted", "request-id", i.ID, "job", i.job.job.ID, "organisation", i.job.job.Organisation,
		"endpoint", placement.Endpoint.ID, "verdict", outcome.Outcome.String(), "status", outcome.Status, "next", next,
		"events", i.events, "failures", i.failures, "breaks", i.disconnects, "ran", time.Since(i.started).String(),
		"error", reason)
}

// handleOutcome completes, fails or reschedules an item after an attempt and returns which of them, for the log. The
// caller holds r.mu.
func (r *Runner) handleOutcome(
	route *wharfroute.Route, i *item, placement *wharffleet.Placement, outcome Outcome,
) string {
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
		i.disconnects++
		if outcome.Events > 0 {
			i.disconnects = 1 // the item made progress, so it is not one that crashes endpoints as it starts
		}
		i.notBefore = now.Add(i.disconnectBackoff())
	}
	if outcome.Outcome != 0 && outcome.Outcome.EndpointFault() {
		placement.Fail(outcome.Outcome)
	}
	if pause := now.Add(retryDelay); i.notBefore.Before(pause) {
		i.notBefore = pause
	}
	return "resume"
}

// disconnectBackoff returns how long an item waits after a connection was lost while it ran, which keeps items away
// from endpoints that go on failing.
func (i *item) disconnectBackoff() time.Duration {
	doublings := i.disconnects - 1
	if i.events == 0 {
		doublings *= 2
	}
	return min(minDisconnectBackoff<<min(doublings, maxDoublings), maxDisconnectBackoff)
}

// maxDoublings is enough to raise minDisconnectBackoff above maxDisconnectBackoff.
const maxDoublings = 8

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
	i.job.pendingResults = append(i.job.pendingResults, pendingResult{result, i})
	if len(i.job.pendingResults) == 1 {
		i.job.batchingSince = time.Now()
	}
}

func resultsOf(pending []pendingResult) []wharftask.Result {
	var results []wharftask.Result
	for _, p := range pending {
		results = append(results, p.result)
	}
	return results
}

// flushResults writes results that have been pending for resultBatchDelay, and immediately those that complete their
// job.
func (r *Runner) flushResults(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, aj := range r.jobs {
		if aj.writing || len(aj.pendingResults) == 0 || time.Now().Before(aj.writeAfter) {
			continue
		}
		complete := len(aj.job.ResultOrder)+len(aj.pendingResults) >= len(aj.job.ItemTokens)
		if !complete && time.Since(aj.batchingSince) < resultBatchDelay {
			continue
		}
		aj.writing = true
		pending := aj.pendingResults
		r.goroutines.Go(func() { r.writeResults(ctx, aj, pending) })
	}
}

func (r *Runner) writeResults(ctx context.Context, aj *activeJob, pending []pendingResult) {
	r.mu.Lock()
	job := aj.job
	r.mu.Unlock()
	updated, err := r.options.Jobs.AppendResults(ctx, job, resultsOf(pending))
	r.mu.Lock()
	defer r.mu.Unlock()
	aj.writing = false
	if errors.Is(err, wharfjobstore.ErrOwnershipLost) {
		aj.pendingResults = nil
		klog.InfoS("results discarded", "request-id", job.ID, "reason", "the job has ended or runs on another host",
			"row-version", job.Version)
		return
	}
	if updated.Version > aj.job.Version {
		aj.job = updated
	}
	if err != nil {
		aj.backOff()
		klog.InfoS("failed to write results; retrying", "request-id", job.ID, "results", len(pending),
			"error", err.Error())
		return
	}
	aj.pendingResults = aj.pendingResults[len(pending):]
	aj.batchingSince, aj.writeBackoff = time.Now(), 0
	klog.InfoS("results written", "request-id", job.ID, "organisation", job.Organisation, "results", len(pending),
		"listed", len(updated.ResultOrder), "items", len(updated.ItemTokens), "row-version", updated.Version)
}

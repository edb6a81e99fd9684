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

// pending is a result with its item.
type pending struct {
	result wharftask.Result
	item   *item
}

// finished takes over what an attempt has brought.
func (r *Runner) finished(route *wharfroute.Route, i *item, placement *wharffleet.Placement, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i.cancel = nil
	i.text = append(i.text, outcome.Text...)
	if outcome.Events > 0 {
		i.lastEvent = outcome.LastEvent
		i.events += outcome.Events
		i.ran += time.Since(i.started)
	}
	next := r.judge(route, i, placement, outcome)
	reason := ""
	if outcome.Err != nil {
		reason = outcome.Err.Error()
	}
	klog.InfoS("batch item attempted", "request-id", i.ID, "job", i.job.job.ID, "organisation", i.job.job.Organisation,
		"endpoint", placement.Endpoint.ID, "verdict", outcome.Verdict.String(), "status", outcome.Status, "next", next,
		"events", i.events, "failures", i.failures, "breaks", i.breaks, "ran", time.Since(i.started).String(), "error", reason)
}

// judge decides what follows an attempt and returns its name for the log; the lock is held.
func (r *Runner) judge(route *wharfroute.Route, i *item, placement *wharffleet.Placement, outcome Outcome) string {
	now := time.Now()
	switch {
	case outcome.Verdict == 0 && outcome.Status < http.StatusMultipleChoices:
		placement.Succeed()
		r.learnPace(i)
		r.finish(i, wharftask.Result{ItemID: i.ID, Completed: true, Output: string(i.text)})
		return "completed"
	case outcome.Verdict == 0 && outcome.Status == http.StatusUnprocessableEntity:
		placement.Succeed()
		r.finish(i, wharftask.Result{ItemID: i.ID, Reason: "the endpoint can not do it"})
		return "given-up"
	case outcome.Verdict == wharfoutcome.Failed:
		i.failures++
		if i.failures >= max(1, route.MaxAttempts) {
			r.finish(i, wharftask.Result{ItemID: i.ID, Reason: "the endpoints failed"})
			return "given-up"
		}
		i.notBefore = now.Add(declinePause)
		return "again"
	case outcome.Verdict == wharfoutcome.CallerGone:
		return "resume"
	case outcome.Verdict == wharfoutcome.ConnectionLost:
		i.breaks++
		if outcome.Events > 0 {
			i.breaks = 1 // it has run on, so it is not what breaks endpoints at their start
		}
		i.notBefore = now.Add(i.breakPause())
	}
	if outcome.Verdict != 0 && outcome.Verdict.EndpointFault() {
		placement.Fail(outcome.Verdict)
	}
	if pause := now.Add(declinePause); i.notBefore.Before(pause) {
		i.notBefore = pause
	}
	return "resume"
}

// breakPause returns how long an item is kept back under which endpoints have broken: it may be what breaks them, or
// something may have cut the connections. One that has brought events before is the less likely cause.
func (i *item) breakPause() time.Duration {
	doublings := i.breaks - 1
	if i.events == 0 {
		doublings *= 2
	}
	return min(firstBreakPause<<min(doublings, mostDoublings), longestBreakPause)
}

// mostDoublings takes the first pause past the longest.
const mostDoublings = 8

// crashes reports whether so many endpoints have broken under an item that never ran that it is taken for the cause.
func (i *item) crashes() bool {
	return i.events == 0 && i.breaks >= maxBreaks
}

// learnPace takes over how long a whole item has run; the lock is held.
func (r *Runner) learnPace(i *item) {
	if i.Tokens > 0 && i.ran > 0 {
		r.pace = time.Duration(paceKept*float64(r.pace) + (1-paceKept)*float64(i.ran)/float64(i.Tokens))
	}
}

// finish keeps an item's result until it is listed; the lock is held.
func (r *Runner) finish(i *item, result wharftask.Result) {
	i.finished = true
	i.text = nil
	i.job.done = append(i.job.done, pending{result, i})
	if len(i.job.done) == 1 {
		i.job.since = time.Now()
	}
}

func resultsOf(done []pending) []wharftask.Result {
	var results []wharftask.Result
	for _, p := range done {
		results = append(results, p.result)
	}
	return results
}

// list writes results that have waited for long enough, and those of jobs that nothing else is to come of.
func (r *Runner) list(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.work {
		if w.listing || len(w.done) == 0 {
			continue
		}
		complete := len(w.job.ResultOrder)+len(w.done) >= len(w.job.ItemTokens)
		if !complete && time.Since(w.since) < listPeriod {
			continue
		}
		w.listing = true
		done := w.done
		r.running.Go(func() { r.write(ctx, w, done) })
	}
}

func (r *Runner) write(ctx context.Context, w *work, done []pending) {
	r.mu.Lock()
	job := w.job
	r.mu.Unlock()
	listed, err := r.options.Jobs.AppendResults(ctx, job, resultsOf(done))
	r.mu.Lock()
	defer r.mu.Unlock()
	w.listing = false
	if errors.Is(err, wharfjobstore.ErrOwnershipLost) {
		w.done = nil
		klog.InfoS("results not listed", "request-id", job.ID, "reason", "the job has ended or runs elsewhere", "row-version", job.Version)
		return
	}
	if err != nil {
		w.since = time.Now()
		klog.InfoS("results not listed yet", "request-id", job.ID, "results", len(done), "error", err.Error())
		return
	}
	w.done = w.done[len(done):]
	w.since = time.Now()
	if listed.Version > w.job.Version {
		w.job = listed
	}
	klog.InfoS("results listed", "request-id", job.ID, "organisation", job.Organisation, "results", len(done),
		"listed", len(listed.ResultOrder), "items", len(listed.ItemTokens), "row-version", listed.Version)
}

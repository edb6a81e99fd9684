package wharfjobrunner

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfschedule"
	"wagtailwharf.example/wharf/state/wharftask"
)

// startable is an item that can be started, with its scheduling priority.
type startable struct {
	item      *item
	route     *wharfroute.Route
	candidate wharfschedule.Candidate
}

// startItems starts items on free slots, most urgent first. The runner is not locked while it waits for a slot.
func (r *Runner) startItems(ctx context.Context) {
	table := r.options.Table()
	if table == nil {
		return
	}
	r.mu.Lock()
	startable := r.startableItems(table)
	r.mu.Unlock()
	exact := r.options.Allocator.Exact()
	accrued, full := map[string]bool{}, map[wharfcall.Origin]bool{}
	for _, s := range startable {
		origin := r.origin(s)
		if !exact && !accrued[origin.Service] {
			accrued[origin.Service] = true
			r.accrueBudget(origin.Service)
		}
		if _, known := full[origin]; !known {
			full[origin] = exact && r.refused(origin)
		}
		if !full[origin] {
			full[origin] = !r.startItem(ctx, s, origin, exact)
		}
	}
}

// minVersionWait is how long an item at least waits for a slot at the version of its text: several times as long as an online
// request holds one.
const minVersionWait = time.Second

// origin returns the service and version at which an item runs next: those of its text so far or, if it has none, a service
// of its route at any version. It drops a text that no endpoint can continue.
func (r *Runner) origin(s startable) wharfcall.Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := s.item
	if i.events > 0 {
		switch {
		case !s.route.HasTarget(i.origin.Service):
			i.startAgain("service not known or no longer on the route")
		case !r.options.Fleet.Serves(i.origin):
			i.startAgain("no endpoint of the version")
		default:
			return i.origin
		}
	}
	return wharfcall.Origin{Service: s.route.PickService()}
}

// startAgain drops an item's text. The caller holds Runner.mu.
func (i *item) startAgain(reason string) {
	klog.InfoS("batch item starts again", "request-id", i.ID, "job", i.job.job.ID, "reason", reason, "events", i.events,
		"version", i.origin.Version)
	i.text, i.events, i.lastEvent, i.origin = nil, 0, 0, wharfcall.Origin{}
}

// acquire gets a slot for an item: at the version of its text or, if it has waited for that for longer than it takes to write
// the text again, at any.
func (r *Runner) acquire(ctx context.Context, s startable, origin wharfcall.Origin) (*wharffleet.Placement, error) {
	request := wharfallocator.Request{
		Service: origin.Service, Version: origin.Version, Batch: true, Reserve: s.candidate.ReservedSlots(),
		Regions: r.regions(&s.item.job.job),
	}
	placement, err := r.options.Allocator.Acquire(ctx, request)
	if err == nil || origin.Version == "" {
		return placement, err
	}
	r.mu.Lock()
	i := s.item
	since := i.stopped
	if i.notBefore.After(since) {
		since = i.notBefore
	}
	waited := time.Since(since) > max(minVersionWait, time.Duration(i.events)*r.timePerToken)
	r.mu.Unlock()
	if !waited {
		return nil, err
	}
	request.Version = ""
	return r.options.Allocator.Acquire(ctx, request)
}

// refused reports whether an allocator had no slot a moment ago.
func (r *Runner) refused(origin wharfcall.Origin) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.refusedUntil[origin])
}

// startableItems returns the items that can be started, most urgent first. The caller holds r.mu.
func (r *Runner) startableItems(table *wharfroute.Table) []startable {
	if r.closing {
		return nil
	}
	now := time.Now()
	storeNow := r.options.Jobs.Now()
	var list []startable
	for _, aj := range r.jobs {
		if aj.loading {
			continue
		}
		route := routeOf(table, &aj.job)
		if route == nil {
			r.giveUpWithoutRoute(table, aj, storeNow)
			continue
		}
		for _, i := range aj.items {
			if r.expireItem(route, i) || r.rejectItem(i) || i.cancel != nil || i.finished || now.Before(i.notBefore) {
				continue
			}
			if i.hasUnrecordedFailures() {
				continue
			}
			list = append(list, startable{item: i, route: route, candidate: r.candidate(route, i, storeNow)})
		}
	}
	slices.SortFunc(list, func(a, b startable) int { return wharfschedule.Compare(a.candidate, b.candidate) })
	return list
}

// rejectItem records a failure for an item that can't be sent, which builds before did not refuse, and reports whether it did. The
// caller holds r.mu.
func (r *Runner) rejectItem(i *item) bool {
	if i.finished || i.checked {
		return false
	}
	i.checked = true
	err := i.Check()
	if err != nil {
		klog.InfoS("batch item can't be sent", "request-id", i.ID, "job", i.job.job.ID, "organisation", i.job.job.Organisation,
			"error", err.Error())
		r.recordResult(i, wharftask.Result{ItemID: i.ID, Reason: err.Error()})
	}
	return err != nil
}

// candidate returns an item's due time and remaining run time, by which items are ordered.
func (r *Runner) candidate(route *wharfroute.Route, i *item, storeNow time.Duration) wharfschedule.Candidate {
	total := time.Duration(float64(i.Tokens) * float64(r.timePerToken))
	return wharfschedule.Candidate{
		Due:       i.job.job.AcceptedAt + route.CompletionTarget - storeNow,
		Remaining: max(0, total-i.runTime),
	}
}

// accrueBudget adds this host's share of the service's free slots, in proportion to the part of loadReportDelay that
// has passed, so that hosts that see the same free slots do not all fill them.
func (r *Runner) accrueBudget(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	alive := 1.0
	for _, p := range r.options.Peers() {
		if p.Presence == wharfgossip.Alive {
			alive++
		}
	}
	share := float64(r.options.Fleet.FreeSlots(service)) / alive
	r.startBudget[service] = min(
		r.startBudget[service]+share*scheduleInterval.Seconds()/loadReportDelay.Seconds(), max(1, share))
}

// startItem starts an item if there is a free slot, and reports whether there may be more.
func (r *Runner) startItem(ctx context.Context, s startable, origin wharfcall.Origin, exact bool) bool {
	if !exact && !r.spendBudget(origin.Service) {
		return false
	}
	placement, err := r.acquire(ctx, s, origin)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.refusedUntil[origin] = time.Now().Add(refusedPause)
		r.startBudget[origin.Service]++ // of no effect while slots are granted by another host
		return false
	}
	i, route := s.item, s.route
	if r.closing || i.finished || i.cancel != nil || r.jobs[i.job.job.Key()] != i.job {
		placement.Release()
		return true
	}
	if i.events > 0 && placement.Endpoint.Version != i.origin.Version {
		i.startAgain("no slot at the version")
	}
	runCtx, cancel := context.WithCancel(ctx)
	i.cancel = cancel
	i.endpoint = placement.Endpoint.ID
	i.started = time.Now()
	task := r.newTask(route, i, placement)
	r.goroutines.Go(func() {
		outcome := r.options.Executor.Execute(runCtx, task)
		cancel()
		placement.Release()
		r.attemptDone(route, i, placement, outcome)
	})
	return true
}

// spendBudget takes one start from the service's budget and reports whether there was one.
func (r *Runner) spendBudget(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startBudget[service] < 1 {
		return false
	}
	r.startBudget[service]--
	return true
}

// eventsLeft returns how many events the item may still have, or 0 if that is not known. Each has at least one of the tokens
// that the item may have.
func (i *item) eventsLeft() int {
	if i.Tokens <= 0 {
		return 0
	}
	return max(1, int(i.Tokens)-i.events)
}

func (r *Runner) newTask(route *wharfroute.Route, i *item, placement *wharffleet.Placement) *Task {
	job := &i.job.job
	left := job.AcceptedAt + route.MaxWait - r.options.Jobs.Now()
	return &Task{
		Call: wharfcall.Call{
			ID:      i.ID,
			Method:  "POST",
			Host:    job.Host,
			Path:    i.Path,
			Target:  i.Path,
			Header:  i.Header,
			Body:    i.Body,
			Arrived: time.Now(),
		},
		Attempt: wharfcall.Attempt{
			Endpoint:     placement.Endpoint.ID,
			Organisation: job.Organisation,
			Remaining:    max(left, time.Second),
			LastEvent:    i.lastEvent,
			Resumes:      i.events > 0,
		},
		Placement: placement,
		Route:     route,
		MaxBytes:  maxOutputBytes - len(i.text),
		MaxEvents: i.eventsLeft(),
	}
}

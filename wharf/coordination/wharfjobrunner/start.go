package wharfjobrunner

import (
	"context"
	"slices"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfschedule"
)

// waiting is an item that can be started.
type waiting struct {
	item      *item
	route     *wharfroute.Route
	candidate wharfschedule.Candidate
}

// start places waiting items in the order of their need.
func (r *Runner) start(ctx context.Context) {
	table := r.options.Table()
	if table == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		return
	}
	earned := map[string]bool{}
	for _, w := range r.waiting(table) {
		service := w.route.PickService()
		if !earned[service] {
			earned[service] = true
			r.earn(service)
		}
		if r.credit[service] < 1 || !r.place(ctx, w, service) {
			return
		}
		r.credit[service]--
	}
}

// waiting returns the items that can be started, the neediest first; the lock is held.
func (r *Runner) waiting(table *wharfroute.Table) []waiting {
	now := time.Now()
	storeNow := r.options.Jobs.Now()
	var list []waiting
	for _, w := range r.work {
		route := table.RouteByName(w.job.Route)
		if route == nil || w.loading {
			continue
		}
		for _, i := range w.items {
			if r.giveUp(route, i) || i.cancel != nil || i.finished || i.crashes() || now.Before(i.notBefore) {
				continue
			}
			list = append(list, waiting{item: i, route: route, candidate: r.candidate(route, i, storeNow)})
		}
	}
	slices.SortFunc(list, func(a, b waiting) int { return wharfschedule.Compare(a.candidate, b.candidate) })
	return list
}

// candidate describes an item for the decision which one runs.
func (r *Runner) candidate(route *wharfroute.Route, i *item, storeNow time.Duration) wharfschedule.Candidate {
	whole := time.Duration(float64(i.Tokens) * float64(r.pace))
	return wharfschedule.Candidate{
		Due:       i.job.job.AcceptedAt + route.CompletionTarget - storeNow,
		Remaining: max(0, whole-i.ran),
	}
}

// earn adds this host's part of the free slots, for as much of the time between two reports as has passed, so that
// hosts which see the same free slots do not all fill them; the lock is held.
func (r *Runner) earn(service string) {
	alive := 1.0
	for _, p := range r.options.Peers() {
		if p.Presence == wharfgossip.Alive {
			alive++
		}
	}
	part := float64(r.options.Fleet.FreeSlots(service)) / alive
	r.credit[service] = min(r.credit[service]+part*tick.Seconds()/reportPeriod.Seconds(), max(1, part))
}

// place starts an item if there is a slot; the lock is held.
func (r *Runner) place(ctx context.Context, w waiting, service string) bool {
	i, route := w.item, w.route
	placement, err := r.options.Fleet.Pick(wharffleet.Request{Service: service, Batch: true, Reserve: w.candidate.ReservedSlots()})
	if err != nil {
		return false
	}
	runCtx, cancel := context.WithCancel(ctx)
	i.cancel = cancel
	i.endpoint = placement.Endpoint.ID
	i.started = time.Now()
	task := r.task(route, i, placement)
	r.running.Go(func() {
		outcome := r.options.Executor.Execute(runCtx, task)
		cancel()
		placement.Release()
		r.finished(route, i, placement, outcome)
	})
	return true
}

func (r *Runner) task(route *wharfroute.Route, i *item, placement *wharffleet.Placement) *Task {
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
	}
}

package wharfjobrunner

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfschedule"
	"wagtailwharf.example/wharf/state/wharftask"
)

const (
	// tick is the time between two looks for free slots: a twentieth of the time a stream holds one.
	tick = 40 * time.Millisecond
	// reportPeriod is the time in which a host learns what the others have started.
	reportPeriod = 100 * time.Millisecond
	// firstPace is the run time for each token of an item until some have been done: a step of a busy engine.
	firstPace = 3500 * time.Microsecond
	// paceKept is the weight of the past in the smoothed pace, for each item that is done.
	paceKept = 0.9
	// listPeriod is how long finished items wait for others, so that one transaction lists several.
	listPeriod = 200 * time.Millisecond
	// declinePause keeps an item back that an endpoint declined or broke under.
	declinePause = 150 * time.Millisecond
	// firstBreakPause keeps an item back under which an endpoint broke. It grows fourfold from break to break, so that
	// an item that crashes endpoints crashes no more than three in the first seconds and few after that; twofold for an
	// item that has brought events.
	firstBreakPause   = 150 * time.Millisecond
	longestBreakPause = 15 * time.Second
	// maxBreaks is the number of endpoints that may break under an item that has brought nothing, before it is left alone
	// until it may be given up.
	maxBreaks = 6
	// sweepPeriod is the time between two looks for jobs that can be removed, keepMargin how much longer than asked for
	// they are kept.
	sweepPeriod = 10 * time.Second
	keepMargin  = 30 * time.Second
	// lookPeriod is the time between two looks for jobs whose owner can't run them.
	lookPeriod = 300 * time.Millisecond
)

// Options are a runner's parts.
type Options struct {
	Host        string
	Incarnation uint64
	Jobs        *wharfjobstore.Store
	Fleet       *wharffleet.Fleet
	Executor    Executor
	Table       func() *wharfroute.Table
	Peers       func() []wharfgossip.Peer
	Retention   time.Duration // how long a job can be read after it was accepted
}

// Runner runs the jobs that this host owns; it is safe for concurrent use.
type Runner struct {
	options Options
	mu      sync.Mutex
	work    map[string]*work
	orphans map[string]time.Time // since when a job's owner can't run it
	closing bool
	started time.Time
	credit  map[string]float64 // items of each service that may be started
	pace    time.Duration      // smoothed run time for each token of an item
	running sync.WaitGroup
}

// New returns a runner without jobs.
func New(options Options) *Runner {
	return &Runner{options: options, work: map[string]*work{}, orphans: map[string]time.Time{}, credit: map[string]float64{}, started: time.Now(), pace: firstPace}
}

// Serve runs jobs until ctx ends.
func (r *Runner) Serve(ctx context.Context) error {
	looked, swept := time.Time{}, time.Now()
	for wharfpause.For(ctx, tick) {
		if time.Since(looked) >= lookPeriod {
			looked = time.Now()
			r.adoptOrphans(ctx)
		}
		if r.options.Retention > 0 && time.Since(swept) >= sweepPeriod {
			swept = time.Now()
			r.sweep(ctx)
		}
		r.follow(ctx)
		r.start(ctx)
		r.list(ctx)
	}
	r.running.Wait()
	return ctx.Err()
}

// follow takes up jobs that have become this host's and drops those that are not any more.
func (r *Runner) follow(ctx context.Context) {
	open := map[string]wharfjobstore.Job{}
	for _, job := range r.options.Jobs.OpenJobs() {
		if job.Owner == r.options.Host && job.Incarnation == r.options.Incarnation {
			open[job.Key()] = job
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, w := range r.work {
		job, mine := open[key]
		if !mine {
			r.drop(key, w)
			continue
		}
		if job.Version > w.job.Version {
			w.job = job
		}
	}
	if r.closing {
		return
	}
	for key, job := range open {
		if r.work[key] == nil {
			w := &work{job: job, loading: true, since: time.Now()}
			r.work[key] = w
			r.running.Go(func() { r.load(ctx, key, w) })
		}
	}
}

// drop stops a job's items; the lock is held.
func (r *Runner) drop(key string, w *work) {
	delete(r.work, key)
	for _, i := range w.items {
		if i.cancel != nil {
			i.cancel()
		}
	}
	klog.InfoS("batch job left", "request-id", w.job.ID, "organisation", w.job.Organisation, "row-version", w.job.Version,
		"listed", len(w.job.ResultOrder), "items", len(w.job.ItemTokens))
}

func (r *Runner) load(ctx context.Context, key string, w *work) {
	items, err := r.options.Jobs.Items(ctx, &w.job)
	var progress []wharftask.Progress
	if err == nil {
		progress, err = r.options.Jobs.Progress(ctx, &w.job)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.loading = false
	if err != nil {
		klog.InfoS("batch job's items not read; read again later", "request-id", w.job.ID, "error", err.Error())
		if r.work[key] == w {
			delete(r.work, key)
		}
		return
	}
	for index := range items {
		if !w.job.HasResult(index) {
			w.items = append(w.items, &item{Item: items[index], index: index, job: w})
		}
	}
	resumed := w.resume(progress)
	klog.InfoS("batch job taken up", "request-id", w.job.ID, "organisation", w.job.Organisation, "row-version", w.job.Version,
		"items", len(items), "left", len(w.items), "resumed", resumed)
}

// resume takes over what an earlier owner's items have brought, and returns for how many.
func (w *work) resume(progress []wharftask.Progress) int {
	resumed := 0
	for _, p := range progress {
		for _, i := range w.items {
			if i.index == p.Item {
				i.text, i.lastEvent, i.events = []byte(p.Text), p.LastEvent, p.Events
				i.failures, i.breaks = p.Failures, p.Disconnects
				resumed++
			}
		}
	}
	return resumed
}

// giveUp lists an item as given up once that is allowed, and reports whether it did; the lock is held.
func (r *Runner) giveUp(route *wharfroute.Route, i *item) bool {
	if i.finished || i.cancel != nil || route.MaxWait <= 0 {
		return false
	}
	if r.options.Jobs.Now() < i.job.job.AcceptedAt+route.MaxWait+giveUpMargin {
		return false
	}
	r.finish(i, wharftask.Result{ItemID: i.ID, Reason: "not done within its time"})
	return true
}

// giveUpMargin keeps an item longer than the route asks for, since the store's clock is known to some milliseconds.
const giveUpMargin = 500 * time.Millisecond

// Preempt stops the item at an endpoint that can best wait, and reports whether there was one.
func (r *Runner) Preempt(endpoint string) bool {
	table := r.options.Table()
	if table == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	storeNow := r.options.Jobs.Now()
	var chosen *item
	var least wharfschedule.Candidate
	for _, w := range r.work {
		route := table.RouteByName(w.job.Route)
		if route == nil {
			continue
		}
		for _, i := range w.items {
			if i.cancel == nil || i.endpoint != endpoint {
				continue
			}
			c := r.candidate(route, i, storeNow)
			c.Remaining = max(0, c.Remaining-time.Since(i.started))
			if chosen == nil || wharfschedule.Compare(least, c) < 0 {
				chosen, least = i, c
			}
		}
	}
	if chosen == nil {
		return false
	}
	chosen.endpoint = "" // so that the next call stops another one
	chosen.cancel()
	return true
}

// Running returns the items that run.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, w := range r.work {
		for _, i := range w.items {
			if i.cancel != nil {
				count++
			}
		}
	}
	return count
}

package wharfjobrunner

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfpace"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfregion"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfschedule"
	"wagtailwharf.example/wharf/state/wharftask"
)

const (
	// scheduleInterval is the time between two checks for free slots: a twentieth of the time a stream holds one.
	scheduleInterval = 40 * time.Millisecond
	// refusedPause is how long no item of a service is started after an allocator had no slot: a fraction of the time an
	// online request holds one.
	refusedPause = 160 * time.Millisecond
	// loadReportDelay is the time in which a host learns what other hosts have started.
	loadReportDelay = 100 * time.Millisecond
	// initialTimePerToken is the assumed run time per token until items have completed: one step of a busy engine.
	initialTimePerToken = 3500 * time.Microsecond
	// timePerTokenSmoothing is the weight of the previous value when a completed item updates the run time per token.
	timePerTokenSmoothing = 0.9
	// resultBatchDelay is how long results wait for others, so that one transaction writes several.
	resultBatchDelay = 200 * time.Millisecond
	// minWriteBackoff is the pause after results could not be written. It doubles with each further failure, up to
	// maxWriteBackoff, a small part of the time in which results are due after an outage.
	minWriteBackoff = 100 * time.Millisecond
	maxWriteBackoff = 800 * time.Millisecond
	// retryDelay is the minimum time that an item waits after an attempt that failed; a preempted item does not wait.
	retryDelay = 150 * time.Millisecond
	// minDisconnectBackoff is the backoff of an item after the first lost connection. It grows fourfold with each
	// further one, and twofold for an item that has produced events. It stays short of the time in which the last items
	// of a job must be done: items are owed, whatever endpoints do under them.
	minDisconnectBackoff = 150 * time.Millisecond
	maxDisconnectBackoff = 5 * time.Second
	// cleanupInterval is the time between two checks for jobs that can be removed; retentionMargin is how much longer
	// than Options.Retention they are kept.
	cleanupInterval = 10 * time.Second
	retentionMargin = 30 * time.Second
	// maxOutputBytes bounds an item's output over all of its attempts. It is half of the largest object that known platforms
	// store.
	maxOutputBytes = 4 << 20
	// adoptInterval is the time between two checks for jobs whose owner can't run them.
	adoptInterval = 300 * time.Millisecond
)

// Options holds a runner's dependencies and settings.
type Options struct {
	Host        string
	Incarnation uint64
	Jobs        *wharfjobstore.Store
	Fleet       *wharffleet.Fleet
	Executor    Executor
	Table       func() *wharfroute.Table
	Peers       func() []wharfgossip.Peer
	Allocator   Allocator
	Paces       *wharfpace.Paces // learns from items; nil for none
	Zone        string
	Regions     wharfregion.Map // regions of the zones, for jobs that are limited to some
	Retention   time.Duration   // how long a job can be read after its acceptance
}

// Allocator gets slots for items; see wharfallocator.Allocator.
type Allocator interface {
	Acquire(ctx context.Context, r wharfallocator.Request) (*wharffleet.Placement, error)
	Exact() bool
}

// Runner runs the jobs that this host owns; it is safe for concurrent use.
type Runner struct {
	options       Options
	mu            sync.Mutex
	jobs          map[string]*activeJob
	orphanedSince map[string]time.Time // by job key, since when the owner can't run the job
	// storeUnreachableSince is since when other hosts have been said, while this host reached the store, not to reach it.
	storeUnreachableSince map[string]time.Time
	closing               bool
	started               time.Time
	startBudget           map[string]float64             // by service, how many items may be started
	refusedUntil          map[wharfcall.Origin]time.Time // until when no slot is asked for
	timePerToken          time.Duration                  // smoothed run time per token of an item
	goroutines            sync.WaitGroup
}

// New returns a runner that owns no jobs yet.
func New(options Options) *Runner {
	return &Runner{
		options:               options,
		jobs:                  map[string]*activeJob{},
		orphanedSince:         map[string]time.Time{},
		storeUnreachableSince: map[string]time.Time{},
		startBudget:           map[string]float64{},
		refusedUntil:          map[wharfcall.Origin]time.Time{},
		started:               time.Now(),
		timePerToken:          initialTimePerToken,
	}
}

// Serve runs jobs until ctx ends.
func (r *Runner) Serve(ctx context.Context) error {
	lastAdoption, lastCleanup := time.Time{}, time.Now()
	for wharfpause.For(ctx, scheduleInterval) {
		if time.Since(lastAdoption) >= adoptInterval {
			lastAdoption = time.Now()
			r.adoptOrphans(ctx)
		}
		if r.options.Retention > 0 && time.Since(lastCleanup) >= cleanupInterval {
			lastCleanup = time.Now()
			r.removeExpired(ctx)
		}
		r.syncJobs(ctx)
		r.startItems(ctx)
		r.flushFailures(ctx)
		r.flushResults(ctx)
	}
	r.goroutines.Wait()
	return ctx.Err()
}

// syncJobs starts work on jobs that this host has come to own and drops those that it no longer owns.
func (r *Runner) syncJobs(ctx context.Context) {
	open := map[string]wharfjobstore.Job{}
	for _, job := range r.options.Jobs.OpenJobs() {
		if job.Owner == r.options.Host && job.Incarnation == r.options.Incarnation {
			open[job.Key()] = job
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, aj := range r.jobs {
		job, mine := open[key]
		if !mine {
			r.dropJob(key, aj)
			continue
		}
		if job.Version > aj.job.Version {
			aj.job = job
		}
	}
	if r.closing {
		return
	}
	for key, job := range open {
		if r.jobs[key] == nil {
			aj := &activeJob{job: job, loading: true, batchingSince: time.Now()}
			r.jobs[key] = aj
			r.goroutines.Go(func() { r.loadItems(ctx, job, aj) })
		}
	}
}

// dropJob stops a job's items and forgets the job. The caller holds r.mu.
func (r *Runner) dropJob(key string, aj *activeJob) {
	delete(r.jobs, key)
	for _, i := range aj.items {
		if i.cancel != nil {
			i.cancel()
		}
	}
	klog.InfoS("batch job dropped", "request-id", aj.job.ID, "organisation", aj.job.Organisation,
		"row-version", aj.job.Version, "listed", len(aj.job.ResultOrder), "items", len(aj.job.ItemTokens))
}

func (r *Runner) loadItems(ctx context.Context, job wharfjobstore.Job, aj *activeJob) {
	items, err := r.options.Jobs.Items(wharfregion.WithLimit(ctx, r.regions(&job)), &job)
	var progress []wharftask.Progress
	if err == nil {
		progress, err = r.options.Jobs.Progress(ctx, &job)
	}
	if errors.Is(err, wharfjobstore.ErrItemsLost) {
		err = r.giveUpJob(ctx, job, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	aj.loading = false
	if err != nil {
		verbosity := klog.Level(0)
		if errors.Is(err, wharfmemory.ErrExhausted) {
			verbosity = 1 // it takes until other jobs have ended
		}
		klog.V(verbosity).InfoS("failed to read batch job items; retrying", "request-id", aj.job.ID, "error", err.Error())
		if r.jobs[job.Key()] == aj {
			delete(r.jobs, job.Key())
		}
		return
	}
	for index := range items {
		if !aj.job.HasResult(index) {
			failures := job.FailuresOf(index)
			aj.items = append(aj.items, &item{Item: items[index], index: index, job: aj, failures: failures, recorded: failures})
		}
	}
	resumed := aj.restoreProgress(progress)
	klog.InfoS("batch job started", "request-id", aj.job.ID, "organisation", aj.job.Organisation,
		"row-version", aj.job.Version, "items", len(items), "left", len(aj.items), "resumed", resumed)
}

// giveUpJob ends a job whose items are lost, so that its caller is told, and returns the error why it is not run.
func (r *Runner) giveUpJob(ctx context.Context, job wharfjobstore.Job, reason error) error {
	klog.ErrorS(reason, "batch job given up", "request-id", job.ID, "organisation", job.Organisation, "object", job.Object,
		"row-version", job.Version, "listed", len(job.ResultOrder), "items", len(job.ItemTokens))
	_, err := r.options.Jobs.GiveUp(ctx, job, reason.Error())
	return errors.Join(reason, err)
}

// restoreProgress restores the progress that a previous owner saved and returns the number of resumed items.
func (aj *activeJob) restoreProgress(progress []wharftask.Progress) int {
	resumed := 0
	for _, p := range progress {
		for _, i := range aj.items {
			if i.index == p.Item {
				i.text, i.lastEvent, i.events = []byte(p.Text), p.LastEvent, p.Events
				i.failures, i.disconnects = max(i.failures, p.Failures), p.Disconnects
				i.origin, i.stopped = p.Origin, time.Now()
				resumed++
			}
		}
	}
	return resumed
}

// expireItem records a failure for an item that has exceeded the route's maximum wait and reports whether it did. The
// caller holds r.mu.
func (r *Runner) expireItem(route *wharfroute.Route, i *item) bool {
	if i.finished || i.cancel != nil || route.MaxWait <= 0 {
		return false
	}
	if r.options.Jobs.Now() < i.job.job.AcceptedAt+route.MaxWait+expiryMargin {
		return false
	}
	r.recordResult(i, wharftask.Result{ItemID: i.ID, Reason: "not done within its time"})
	return true
}

// expiryMargin delays expiry beyond the route's maximum wait, since the store's clock is known only to within some
// milliseconds.
const expiryMargin = 500 * time.Millisecond

// Preempt stops the running item at an endpoint that can best wait, and reports whether there was one.
func (r *Runner) Preempt(endpoint string) bool {
	table := r.options.Table()
	if table == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	storeNow := r.options.Jobs.Now()
	var victim *item
	var lowest wharfschedule.Candidate
	for _, aj := range r.jobs {
		route := routeOf(table, &aj.job)
		if route == nil {
			continue
		}
		for _, i := range aj.items {
			if i.cancel == nil || i.endpoint != endpoint {
				continue
			}
			c := r.candidate(route, i, storeNow)
			c.Remaining = max(0, c.Remaining-time.Since(i.started))
			if victim == nil || wharfschedule.Compare(lowest, c) < 0 {
				victim, lowest = i, c
			}
		}
	}
	if victim == nil {
		return false
	}
	victim.endpoint = "" // so that the next call stops another item
	victim.cancel()
	return true
}

// Running returns the number of running items.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, aj := range r.jobs {
		for _, i := range aj.items {
			if i.cancel != nil {
				count++
			}
		}
	}
	return count
}

package wharfbatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfpermit"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
)

const (
	claimInterval     = 200 * time.Millisecond
	commitInterval    = 2 * time.Second
	claimTimeout      = 10 * time.Second
	reportDecay       = 3 * time.Second
	maxAttempts       = 4
	maxClaimsPerRound = 2 // chunks that one round may claim
	retryDelay        = 500 * time.Millisecond
	// maxLossPause is the longest pause of an item after endpoints were lost under it, and maxDoublings is enough to raise
	// retryDelay above it.
	maxLossPause = 10 * time.Minute
	maxDoublings = 11
)

// Options holds a runner's dependencies and settings.
type Options struct {
	Zone         string
	Storage      wharfstorage.Storage
	Member       *wharfmember.Member
	Config       func() *wharfsnapshot.Snapshot
	Executor     Executor
	Peers        Peers
	Headroom     float64 // share of an endpoint's slots, from 0 to 1, that batch items leave free
	IgnoreOnline bool    // batch items are not preempted by online requests
}

// Runner claims chunks of open jobs and runs their items on the endpoints that this host schedules.
type Runner struct {
	options     Options
	mu          sync.Mutex
	endpoints   map[string]*endpoint
	queues      map[string]*queue // by service
	chunks      map[*chunk]struct{}
	servedItems map[string]float64
	offerCache  offerCache
	committing  atomic.Bool
	stopping    bool
	wake        chan struct{}
	goroutines  sync.WaitGroup
}

type endpoint struct {
	config      wharfconfig.Endpoint
	permits     *wharfpermit.Permits
	running     []*runningItem // oldest first
	owned       bool
	pausedUntil time.Time
}

type runningItem struct {
	cancel context.CancelCauseFunc
	item   *item
}

// New returns a runner; it does nothing until Serve is called.
func New(options Options) *Runner {
	return &Runner{
		options:     options,
		endpoints:   map[string]*endpoint{},
		queues:      map[string]*queue{},
		chunks:      map[*chunk]struct{}{},
		servedItems: map[string]float64{},
		wake:        make(chan struct{}, 1),
	}
}

// Serve claims chunks, runs their items and commits their results until ctx ends, and then waits until all items have
// stopped.
func (r *Runner) Serve(ctx context.Context) error {
	defer r.goroutines.Wait()
	defer r.stopChunks()
	r.goroutines.Go(func() { r.claimLoop(ctx) })
	r.goroutines.Go(func() { r.adoptLoop(ctx) })
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		r.dispatch(ctx)
		select {
		case <-r.wake:
		case <-ticker.C:
			r.updateEndpoints()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// updateEndpoints recomputes from the members and the configuration which of the zone's endpoints this host schedules.
func (r *Runner) updateEndpoints() {
	view := r.options.Member.View()
	config := r.options.Config()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.owned = false
	}
	if config == nil || !view.InForce(time.Now()) {
		return
	}
	hosts := view.LiveHosts()
	for _, service := range config.Services {
		if service.Kind != wharfconfig.KindModel {
			continue
		}
		for _, settings := range service.Endpoints {
			if settings.Zone != r.options.Zone || settings.Leaving {
				continue
			}
			r.updateEndpoint(settings, Scheduler(settings.Name, hosts) == view.Self.Host)
		}
	}
}

// Scheduler returns the host that runs batch items on an endpoint.
func Scheduler(endpoint string, hosts []string) string {
	return wharfrank.First("endpoint/"+endpoint, hosts)
}

func (r *Runner) updateEndpoint(settings wharfconfig.Endpoint, owned bool) {
	e := r.endpoints[settings.Name]
	if e == nil || e.config.Slots != settings.Slots {
		e = &endpoint{permits: wharfpermit.New(settings.Slots, r.options.Headroom, reportDecay)}
		r.endpoints[settings.Name] = e
	}
	e.config = settings
	e.owned = owned && !r.stopping
}

// Report records how many online requests a daemon has on an endpoint, and immediately preempts batch items if the
// endpoint has too few slots left for them.
func (r *Runner) Report(daemon, name string, online int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[name]
	if e == nil || r.options.IgnoreOnline {
		return
	}
	now := time.Now()
	e.permits.Report(daemon, online, now)
	available := e.permits.Available(now)
	for i := len(e.running) - 1; i >= 0 && available < 0; i-- {
		if e.running[i].cancelled() {
			continue
		}
		e.running[i].preempt()
		available++
	}
	if available > 0 {
		r.signal()
	}
}

func (ri *runningItem) cancelled() bool {
	return ri.cancel == nil
}

func (ri *runningItem) preempt() {
	ri.cancel(ErrPreempted)
	ri.cancel = nil
}

// Running returns the number of running batch items.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.endpoints {
		count += len(e.running)
	}
	return count
}

// dispatch starts queued items on the endpoints that this host schedules while permits are available.
func (r *Runner) dispatch(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, e := range r.endpoints {
		if !e.owned || now.Before(e.pausedUntil) {
			continue
		}
		q := r.queues[e.config.Service]
		for q != nil && q.ready(now) && e.permits.Acquire(now) {
			r.startItem(ctx, e, q.pop(now))
		}
	}
}

// startItem starts one item on an endpoint. The caller holds r.mu.
func (r *Runner) startItem(ctx context.Context, e *endpoint, it *item) {
	itemCtx, cancel := context.WithCancelCause(it.chunk.ctx)
	ri := &runningItem{cancel: cancel, item: it}
	e.running = append(e.running, ri)
	r.servedItems[it.chunk.open.Organisation]++
	r.goroutines.Go(func() {
		defer cancel(nil)
		outcome, err := r.options.Executor.Execute(itemCtx, it.task(e.config))
		r.finishItem(ctx, e, ri, outcome, err)
	})
}

func (r *Runner) finishItem(ctx context.Context, e *endpoint, ri *runningItem, outcome Outcome, err error) {
	r.mu.Lock()
	e.remove(ri)
	e.permits.Release()
	if r.recordOutcome(e, ri.item, outcome, err) {
		ri.item.chunk.remaining--
	}
	complete := ri.item.chunk.remaining == 0 && ri.item.chunk.ctx.Err() == nil
	r.mu.Unlock()
	if complete {
		r.completeChunk(ctx, ri.item.chunk)
	}
	r.signal()
}

// recordOutcome records the outcome of an attempt and reports whether the item is finished; otherwise it queues the
// item again. The caller holds r.mu.
func (r *Runner) recordOutcome(e *endpoint, it *item, outcome Outcome, err error) bool {
	if it.chunk.ctx.Err() != nil {
		return false
	}
	if err == nil {
		it.recordAnswer(outcome)
		return true
	}
	if it.recordFailure(err, outcome) {
		return true
	}
	now := time.Now()
	it.notBefore = now.Add(it.pause())
	if !it.preempted {
		e.pausedUntil = now.Add(retryDelay)
	}
	r.queueOf(it.chunk.open.Service).push(it)
	return false
}

func (e *endpoint) remove(ri *runningItem) {
	for i, other := range e.running {
		if other == ri {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

func (r *Runner) queueOf(service string) *queue {
	q := r.queues[service]
	if q == nil {
		q = &queue{}
		r.queues[service] = q
	}
	return q
}

// demand returns, by service, how many permits are available, for services with fewer queued items than that.
func (r *Runner) demand() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	available := map[string]int{}
	for _, e := range r.endpoints {
		if e.owned {
			available[e.config.Service] += max(0, e.permits.Available(now))
		}
	}
	for service, count := range available {
		waiting := 0
		if q := r.queues[service]; q != nil {
			waiting = len(q.items)
		}
		if count == 0 || waiting >= count {
			delete(available, service)
		}
	}
	return available
}

// Drain stops claiming chunks, waits for running items until ctx ends, and releases the remaining chunks to other
// hosts.
func (r *Runner) Drain(ctx context.Context) {
	r.mu.Lock()
	r.stopping = true
	for _, e := range r.endpoints {
		e.owned = false
	}
	r.mu.Unlock()
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for r.Running() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			r.releaseAll(context.WithoutCancel(ctx))
			return
		}
	}
	r.releaseAll(context.WithoutCancel(ctx))
}

func (r *Runner) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for _, c := range r.heldChunks() {
		r.releaseChunk(ctx, c)
	}
}

func (r *Runner) heldChunks() []*chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := make([]*chunk, 0, len(r.chunks))
	for c := range r.chunks {
		held = append(held, c)
	}
	return held
}

func (r *Runner) stopChunks() {
	for _, c := range r.heldChunks() {
		c.stop()
	}
}

// StopJob drops the chunks of a cancelled job, which stops their items.
func (r *Runner) StopJob(id string) {
	for _, c := range r.heldChunks() {
		if c.open.Job == id {
			r.dropChunk(c)
		}
	}
}

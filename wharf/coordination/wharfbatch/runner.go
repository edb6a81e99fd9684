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
	claimPeriod  = 200 * time.Millisecond
	commitPeriod = 2 * time.Second
	claimLimit   = 10 * time.Second
	reportDecay  = 3 * time.Second
	maxAttempts  = 4
	readyChunks  = 2 // chunks held beyond what the permits can run now
	retryPause   = 500 * time.Millisecond
)

// Options name what a runner works with.
type Options struct {
	Zone         string
	Storage      wharfstorage.Storage
	Member       *wharfmember.Member
	Config       func() *wharfsnapshot.Snapshot
	Executor     Executor
	Peers        Peers
	Headroom     float64 // share of an endpoint's slots, from 0 to 1, that batch leaves free
	IgnoreOnline bool    // batch takes no notice of online requests
}

// Runner claims chunks of open jobs and runs their items on the endpoints that this host schedules.
type Runner struct {
	options   Options
	mu        sync.Mutex
	endpoints map[string]*endpoint
	queues    map[string]*queue // by service
	chunks    map[*chunk]struct{}
	served    map[string]float64
	board     board
	saving    atomic.Bool
	stopping  bool
	wake      chan struct{}
	work      sync.WaitGroup
}

type endpoint struct {
	config  wharfconfig.Endpoint
	permits *wharfpermit.Permits
	running []*run // oldest first
	mine    bool
	rests   time.Time
}

type run struct {
	cancel context.CancelCauseFunc
	item   *item
}

// New returns a runner that works when Serve runs.
func New(options Options) *Runner {
	return &Runner{
		options:   options,
		endpoints: map[string]*endpoint{},
		queues:    map[string]*queue{},
		chunks:    map[*chunk]struct{}{},
		served:    map[string]float64{},
		wake:      make(chan struct{}, 1),
	}
}

// Serve claims, runs and commits until ctx ends, and then waits for all items to have stopped.
func (r *Runner) Serve(ctx context.Context) error {
	defer r.work.Wait()
	defer r.stopAll()
	r.work.Go(func() { r.claimLoop(ctx) })
	r.work.Go(func() { r.adoptLoop(ctx) })
	ticker := time.NewTicker(claimPeriod)
	defer ticker.Stop()
	for {
		r.dispatch(ctx)
		select {
		case <-r.wake:
		case <-ticker.C:
			r.fitEndpoints()
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

// fitEndpoints takes on the endpoints of the zone for which this host ranks first, and lets go of the others.
func (r *Runner) fitEndpoints() {
	view := r.options.Member.View()
	config := r.options.Config()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.mine = false
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
			r.fitEndpoint(settings, Scheduler(settings.Name, hosts) == view.Self.Host)
		}
	}
}

// Scheduler returns the host that runs batch on an endpoint.
func Scheduler(endpoint string, hosts []string) string {
	return wharfrank.First("endpoint/"+endpoint, hosts)
}

func (r *Runner) fitEndpoint(settings wharfconfig.Endpoint, mine bool) {
	e := r.endpoints[settings.Name]
	if e == nil || e.config.Slots != settings.Slots {
		e = &endpoint{permits: wharfpermit.New(settings.Slots, r.options.Headroom, reportDecay)}
		r.endpoints[settings.Name] = e
	}
	e.config = settings
	e.mine = mine && !r.stopping
}

// Report takes in how many online requests a daemon has on an endpoint, and stops batch items at once where
// they have no room left.
func (r *Runner) Report(daemon, name string, online int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[name]
	if e == nil || r.options.IgnoreOnline {
		return
	}
	now := time.Now()
	e.permits.Report(daemon, online, now)
	room := e.permits.Available(now)
	for i := len(e.running) - 1; i >= 0 && room < 0; i-- {
		if e.running[i].cancelled() {
			continue
		}
		e.running[i].giveWay()
		room++
	}
	if room > 0 {
		r.signal()
	}
}

func (u *run) cancelled() bool {
	return u.cancel == nil
}

func (u *run) giveWay() {
	u.cancel(ErrPreempted)
	u.cancel = nil
}

// Running returns how many batch items run now.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.endpoints {
		count += len(e.running)
	}
	return count
}

// dispatch starts items wherever there is a permit.
func (r *Runner) dispatch(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, e := range r.endpoints {
		if !e.mine || now.Before(e.rests) {
			continue
		}
		q := r.queues[e.config.Service]
		for q != nil && q.ready(now) && e.permits.Acquire(now) {
			r.start(ctx, e, q.pop(now))
		}
	}
}

// start runs one item on an endpoint; the caller holds the lock.
func (r *Runner) start(ctx context.Context, e *endpoint, it *item) {
	itemCtx, cancel := context.WithCancelCause(it.chunk.ctx)
	u := &run{cancel: cancel, item: it}
	e.running = append(e.running, u)
	r.served[it.chunk.open.Organisation]++
	r.work.Go(func() {
		defer cancel(nil)
		outcome, err := r.options.Executor.Execute(itemCtx, it.task(e.config))
		r.finish(ctx, e, u, outcome, err)
	})
}

func (r *Runner) finish(ctx context.Context, e *endpoint, u *run, outcome Outcome, err error) {
	r.mu.Lock()
	e.remove(u)
	e.permits.Release()
	if r.settle(e, u.item, outcome, err) {
		u.item.chunk.left--
	}
	complete := u.item.chunk.left == 0 && u.item.chunk.ctx.Err() == nil
	r.mu.Unlock()
	if complete {
		r.complete(ctx, u.item.chunk)
	}
	r.signal()
}

// settle records what became of an item and reports whether it is answered; the caller holds the lock.
func (r *Runner) settle(e *endpoint, it *item, outcome Outcome, err error) bool {
	if it.chunk.ctx.Err() != nil {
		return false
	}
	if err == nil {
		it.answer(outcome)
		return true
	}
	if it.fail(err, outcome) {
		return true
	}
	it.notBefore = time.Now()
	if !it.gaveWay {
		it.notBefore = it.notBefore.Add(retryPause)
		e.rests = it.notBefore
	}
	r.queueOf(it.chunk.open.Service).push(it)
	return false
}

func (e *endpoint) remove(u *run) {
	for i, other := range e.running {
		if other == u {
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

// wanted returns, by service, how many more chunks would keep the permits busy.
func (r *Runner) wanted() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	room := map[string]int{}
	for _, e := range r.endpoints {
		if e.mine {
			room[e.config.Service] += max(0, e.permits.Available(now))
		}
	}
	for service, count := range room {
		waiting := 0
		if q := r.queues[service]; q != nil {
			waiting = len(q.items)
		}
		if count == 0 || waiting >= count {
			delete(room, service)
		}
	}
	return room
}

// Drain stops taking chunks, lets running items end until ctx does, and hands what is left to others.
func (r *Runner) Drain(ctx context.Context) {
	r.mu.Lock()
	r.stopping = true
	for _, e := range r.endpoints {
		e.mine = false
	}
	r.mu.Unlock()
	ticker := time.NewTicker(claimPeriod)
	defer ticker.Stop()
	for r.Running() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			r.handOver(context.WithoutCancel(ctx))
			return
		}
	}
	r.handOver(context.WithoutCancel(ctx))
}

func (r *Runner) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	for _, c := range r.held() {
		r.giveBack(ctx, c)
	}
}

func (r *Runner) held() []*chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := make([]*chunk, 0, len(r.chunks))
	for c := range r.chunks {
		held = append(held, c)
	}
	return held
}

func (r *Runner) stopAll() {
	for _, c := range r.held() {
		c.stop()
	}
}

// StopJob ends the work on a cancelled job at once.
func (r *Runner) StopJob(id string) {
	for _, c := range r.held() {
		if c.open.Job == id {
			r.drop(c)
		}
	}
}

package wharfgate

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfqueue"
)

const (
	// dispatchInterval is the time between two attempts of a queued request to start the head of its queue.
	dispatchInterval = 50 * time.Millisecond
	// intervalSmoothing is the weight of the previous value in the moving average of the start interval.
	intervalSmoothing = 0.9
	// maxStartInterval caps the time between two starts that enters the average.
	maxStartInterval = time.Second
	// initialStartInterval is the average's initial value.
	initialStartInterval = 10 * time.Millisecond
	// minRetryAfter is the minimum delay suggested to a rejected caller.
	minRetryAfter = time.Second
)

// ErrBusy is returned immediately if the request is not expected to start within its maximum wait, or after that wait.
var ErrBusy = errors.New("every endpoint is busy and the request would wait too long")

// Gate admits online requests to endpoints and queues them by organisation while all endpoints are full. It is safe
// for concurrent use. Requests take its lock only while some are queued.
type Gate[E Slot] struct {
	waiting atomic.Int64
	mu      sync.Mutex
	queues  map[queueKey]*serviceQueue[E]
	classes map[string]int // by class, the number of queued requests
	fifo    bool
}

// queueKey identifies a queue.
type queueKey struct {
	service, class string
}

// Slot is a request's slot at an endpoint.
type Slot interface {
	Release()
}

// UseFIFO makes the gate start queued requests in the order of their arrival instead of fairly by organisation. It
// must be called before the first Acquire.
func (g *Gate[E]) UseFIFO() {
	g.fifo = true
}

// serviceQueue holds the queued requests of one service.
type serviceQueue[E Slot] struct {
	queue         *wharfqueue.Queue[*waiter[E]]
	continuing    []*waiter[E]  // requests that continue a stream, in order of arrival
	startInterval time.Duration // moving average of the time between two starts from the queue
	lastStart     time.Time
}

// waiter is a queued request; ready receives its slot.
type waiter[E Slot] struct {
	pick      func(now time.Time) (E, error)
	ready     chan E
	abandoned bool
}

// Request describes a request that needs a slot.
type Request[E Slot] struct {
	Service      string
	Organisation string
	Weight       float64
	MaxWait      time.Duration // maximum time in the queue
	// Continues is set for a request that continues a stream. It goes before those that begin one, since part of its work is
	// done, and does not hold them up if the endpoints that it can use are full.
	Continues bool
	// Class names the endpoints that the request can use if they are not all of the service's, such as those of some regions.
	// Each class has a queue, so that a request which finds no slot does not hold up those that can use others.
	Class string
	// Pick takes a slot at an endpoint. It returns wharfpick.ErrAllFull if no slot is free.
	Pick func(now time.Time) (E, error)
}

// New returns a Gate with empty queues.
func New[E Slot]() *Gate[E] {
	return &Gate[E]{queues: map[queueKey]*serviceQueue[E]{}, classes: map[string]int{}}
}

// Acquire returns a slot that the request holds until Release. With ErrBusy, wharfpick.ErrNoEndpoint and
// wharfpick.ErrAllFull it returns how long the caller should wait before a retry.
func (g *Gate[E]) Acquire(ctx context.Context, request Request[E]) (slot E, wait time.Duration, err error) {
	if request.Continues || !g.holdsUp(request.Class) {
		slot, err = request.Pick(time.Now())
		if !errors.Is(err, wharfpick.ErrAllFull) {
			return slot, minRetryAfter, err
		}
	}
	if g.fifo {
		request.Organisation = ""
	}
	w := &waiter[E]{pick: request.Pick, ready: make(chan E, 1)}
	if wait, ok := g.enqueue(w, request); !ok {
		return slot, wait, ErrBusy
	}
	defer g.leave(request.Class)
	return g.await(ctx, w, request)
}

// holdsUp reports whether requests of a class are queued.
func (g *Gate[E]) holdsUp(class string) bool {
	if g.waiting.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.classes[class] > 0
}

// join counts a queued request. The caller holds g.mu.
func (g *Gate[E]) join(class string) {
	g.waiting.Add(1)
	g.classes[class]++
}

// leave counts a request that is no longer queued.
func (g *Gate[E]) leave(class string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting.Add(-1)
	if g.classes[class]--; g.classes[class] == 0 {
		delete(g.classes, class)
	}
}

// enqueue adds the waiter to its queue unless the expected wait exceeds the request's maximum wait; then it returns
// the expected wait and false.
func (g *Gate[E]) enqueue(w *waiter[E], request Request[E]) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := queueKey{request.Service, request.Class}
	q := g.queues[key]
	if q == nil {
		q = &serviceQueue[E]{queue: wharfqueue.New[*waiter[E]](), startInterval: initialStartInterval}
		g.queues[key] = q
	}
	now := time.Now()
	if request.Continues {
		q.continuing = append(q.continuing, w)
		g.join(request.Class)
		return 0, true
	}
	if q.queue.Len() == 0 {
		q.lastStart = now
	}
	expected := time.Duration(q.queue.LenOf(request.Organisation)+1) * q.startInterval *
		time.Duration(max(1, q.queue.Flows()))
	if expected > request.MaxWait {
		return max(expected, minRetryAfter), false
	}
	q.queue.Push(request.Organisation, request.Weight, w, now.Add(request.MaxWait))
	g.join(request.Class)
	return 0, true
}

func (g *Gate[E]) await(ctx context.Context, w *waiter[E], request Request[E]) (E, time.Duration, error) {
	timeout := time.NewTimer(request.MaxWait)
	defer timeout.Stop()
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case slot := <-w.ready:
			return slot, 0, nil
		case <-ticker.C:
			g.Dispatch(request.Service)
		case <-timeout.C:
			return g.abandon(w, ErrBusy)
		case <-ctx.Done():
			return g.abandon(w, context.Cause(ctx))
		}
	}
}

// abandon marks the waiter as abandoned, so that Dispatch skips it, and returns err. If a slot was assigned in the
// meantime, it returns the slot.
func (g *Gate[E]) abandon(w *waiter[E], err error) (slot E, wait time.Duration, _ error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case slot = <-w.ready:
		return slot, 0, nil
	default:
		w.abandoned = true
		return slot, minRetryAfter, err
	}
}

// Release frees a slot of a service and starts the next queued request.
func (g *Gate[E]) Release(slot E, service string) {
	slot.Release()
	g.Dispatch(service)
}

// Waiting returns the number of queued requests.
func (g *Gate[E]) Waiting() int {
	return int(g.waiting.Load())
}

// Dispatch starts queued requests of a service while slots are free.
func (g *Gate[E]) Dispatch(service string) {
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for key, q := range g.queues {
		if key.service == service {
			q.dispatch(now)
		}
	}
}

// dispatch starts queued requests while slots are free.
func (q *serviceQueue[E]) dispatch(now time.Time) {
	q.continuing = slices.DeleteFunc(q.continuing, func(w *waiter[E]) bool { return w.start(now) })
	q.queue.Expire(now)
	for {
		w, ok := q.queue.Peek()
		if !ok {
			return
		}
		if !w.start(now) {
			return
		}
		if !w.abandoned {
			q.recordStart(now)
		}
		q.queue.Pop()
	}
}

// start gives a waiter a slot if there is one, and reports whether it waits no more.
func (w *waiter[E]) start(now time.Time) bool {
	if w.abandoned {
		return true
	}
	slot, err := w.pick(now)
	if err != nil {
		return false
	}
	w.ready <- slot
	return true
}

func (q *serviceQueue[E]) recordStart(now time.Time) {
	elapsed := min(now.Sub(q.lastStart), maxStartInterval)
	q.lastStart = now
	q.startInterval = time.Duration(intervalSmoothing*float64(q.startInterval) + (1-intervalSmoothing)*float64(elapsed))
}

// ForgetIntervals resets the expected waits of all queues, after endpoints have come back. The averages are from the time
// without them, and only starts from the queue would correct them, which they prevent.
func (g *Gate[E]) ForgetIntervals() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, q := range g.queues {
		q.startInterval = initialStartInterval
	}
}

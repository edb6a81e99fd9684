package wharfgate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfqueue"
)

const (
	feedPeriod  = 50 * time.Millisecond
	rateKept    = 0.9
	longestGap  = time.Second
	firstGap    = 10 * time.Millisecond
	leastReturn = time.Second
)

// ErrBusy says that the request could not start in time, so that it is refused at once.
var ErrBusy = errors.New("every endpoint is busy and the request would wait too long")

// Gate starts online requests on endpoints and queues them by organisation while all are full.
// It is safe for concurrent use; requests share its lock only while some wait.
type Gate[E Slot] struct {
	waiting atomic.Int64
	mu      sync.Mutex
	lines   map[string]*line[E]
	inOrder bool
}

// Slot is a request's place at an endpoint.
type Slot interface {
	Release()
}

// UseFIFO has the gate start waiting requests in the order in which they came, whoever sent them.
func (g *Gate[E]) UseFIFO() {
	g.inOrder = true
}

type line[E Slot] struct {
	queue    *wharfqueue.Queue[*waiter[E]]
	gap      time.Duration // smoothed time between two starts from the queue
	released time.Time
}

type waiter[E Slot] struct {
	pick  func(now time.Time) (E, error)
	ready chan E
	gone  bool
}

// Request is one request that wants an endpoint.
type Request[E Slot] struct {
	Service      string
	Organisation string
	Weight       float64
	MaxWait      time.Duration // longest wait
	// Pick takes a place at an endpoint; wharfpick.ErrFull says that there is none for now.
	Pick func(now time.Time) (E, error)
}

// New returns a gate at which nothing waits.
func New[E Slot]() *Gate[E] {
	return &Gate[E]{lines: map[string]*line[E]{}}
}

// Acquire returns an endpoint on which the request counts until Release. On ErrBusy, wharfpick.ErrNone and
// wharfpick.ErrFull it says when to come back.
func (g *Gate[E]) Acquire(ctx context.Context, request Request[E]) (place E, wait time.Duration, err error) {
	if g.waiting.Load() == 0 {
		place, err = request.Pick(time.Now())
		if !errors.Is(err, wharfpick.ErrAllFull) {
			return place, leastReturn, err
		}
	}
	if g.inOrder {
		request.Organisation = ""
	}
	w := &waiter[E]{pick: request.Pick, ready: make(chan E, 1)}
	if wait, ok := g.enter(w, request); !ok {
		return place, wait, ErrBusy
	}
	defer g.waiting.Add(-1)
	return g.wait(ctx, w, request)
}

// enter queues the waiter unless those before it will take longer than its patience.
func (g *Gate[E]) enter(w *waiter[E], request Request[E]) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[request.Service]
	if l == nil {
		l = &line[E]{queue: wharfqueue.New[*waiter[E]](), gap: firstGap}
		g.lines[request.Service] = l
	}
	now := time.Now()
	if l.queue.Len() == 0 {
		l.released = now
	}
	expected := time.Duration(l.queue.LenOf(request.Organisation)+1) * l.gap * time.Duration(max(1, l.queue.Flows()))
	if expected > request.MaxWait {
		return max(expected, leastReturn), false
	}
	l.queue.Push(request.Organisation, request.Weight, w, now.Add(request.MaxWait))
	g.waiting.Add(1)
	return 0, true
}

func (g *Gate[E]) wait(ctx context.Context, w *waiter[E], request Request[E]) (E, time.Duration, error) {
	patience := time.NewTimer(request.MaxWait)
	defer patience.Stop()
	ticker := time.NewTicker(feedPeriod)
	defer ticker.Stop()
	for {
		select {
		case e := <-w.ready:
			return e, 0, nil
		case <-ticker.C:
			g.Dispatch(request.Service)
		case <-patience.C:
			return g.leave(w, ErrBusy)
		case <-ctx.Done():
			return g.leave(w, context.Cause(ctx))
		}
	}
}

// leave gives up waiting, unless an endpoint was handed over just now.
func (g *Gate[E]) leave(w *waiter[E], err error) (place E, wait time.Duration, _ error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case place = <-w.ready:
		return place, 0, nil
	default:
		w.gone = true
		return place, leastReturn, err
	}
}

// Release ends a request on an endpoint of a service and starts the next one that waits.
func (g *Gate[E]) Release(place E, service string) {
	place.Release()
	g.Dispatch(service)
}

// Waiting returns the number of requests that wait.
func (g *Gate[E]) Waiting() int {
	return int(g.waiting.Load())
}

// Dispatch starts waiting requests of a service for as long as there is room.
func (g *Gate[E]) Dispatch(service string) {
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[service]
	if l == nil {
		return
	}
	now := time.Now()
	l.queue.Expire(now)
	for {
		w, ok := l.queue.Peek()
		if !ok {
			return
		}
		if !w.gone {
			e, err := w.pick(now)
			if err != nil {
				return
			}
			w.ready <- e
			l.started(now)
		}
		l.queue.Pop()
	}
}

func (l *line[E]) started(now time.Time) {
	gap := min(now.Sub(l.released), longestGap)
	l.released = now
	l.gap = time.Duration(rateKept*float64(l.gap) + (1-rateKept)*float64(gap))
}

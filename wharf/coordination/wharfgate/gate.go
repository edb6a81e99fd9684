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
type Gate struct {
	picker  *wharfpick.Picker
	waiting atomic.Int64
	mu      sync.Mutex
	lines   map[string]*line
	inOrder bool
}

// InOrder has the gate start waiting requests in the order in which they came, whoever sent them.
func (g *Gate) InOrder() {
	g.inOrder = true
}

type line struct {
	queue    *wharfqueue.Queue[*waiter]
	gap      time.Duration // smoothed time between two starts from the queue
	released time.Time
}

type waiter struct {
	pick  wharfpick.Request
	ready chan *wharfpick.Endpoint
	gone  bool
}

// Request is one request that wants an endpoint.
type Request struct {
	Organisation string
	Weight       float64
	Patience     time.Duration // longest wait
	Pick         wharfpick.Request
}

// New returns a gate in front of a picker's endpoints.
func New(picker *wharfpick.Picker) *Gate {
	return &Gate{picker: picker, lines: map[string]*line{}}
}

// Acquire returns an endpoint on which the request counts until Release. On ErrBusy, wharfpick.ErrNone and
// wharfpick.ErrFull it says when to come back.
func (g *Gate) Acquire(ctx context.Context, request Request) (*wharfpick.Endpoint, time.Duration, error) {
	if g.waiting.Load() == 0 {
		e, err := g.picker.Pick(request.Pick)
		if !errors.Is(err, wharfpick.ErrFull) {
			return e, leastReturn, err
		}
	}
	if g.inOrder {
		request.Organisation = ""
	}
	w := &waiter{pick: request.Pick, ready: make(chan *wharfpick.Endpoint, 1)}
	if wait, ok := g.enter(w, request); !ok {
		return nil, wait, ErrBusy
	}
	defer g.waiting.Add(-1)
	return g.wait(ctx, w, request)
}

// enter queues the waiter unless those before it will take longer than its patience.
func (g *Gate) enter(w *waiter, request Request) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[request.Pick.Service]
	if l == nil {
		l = &line{queue: wharfqueue.New[*waiter](), gap: firstGap}
		g.lines[request.Pick.Service] = l
	}
	now := time.Now()
	if l.queue.Len() == 0 {
		l.released = now
	}
	expected := time.Duration(l.queue.LenOf(request.Organisation)+1) * l.gap * time.Duration(max(1, l.queue.Flows()))
	if expected > request.Patience {
		return max(expected, leastReturn), false
	}
	l.queue.Push(request.Organisation, request.Weight, w, now.Add(request.Patience))
	g.waiting.Add(1)
	return 0, true
}

func (g *Gate) wait(ctx context.Context, w *waiter, request Request) (*wharfpick.Endpoint, time.Duration, error) {
	patience := time.NewTimer(request.Patience)
	defer patience.Stop()
	ticker := time.NewTicker(feedPeriod)
	defer ticker.Stop()
	for {
		select {
		case e := <-w.ready:
			return e, 0, nil
		case <-ticker.C:
			g.feed(request.Pick.Service)
		case <-patience.C:
			return g.leave(w, ErrBusy)
		case <-ctx.Done():
			return g.leave(w, context.Cause(ctx))
		}
	}
}

// leave gives up waiting, unless an endpoint was handed over just now.
func (g *Gate) leave(w *waiter, err error) (*wharfpick.Endpoint, time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case e := <-w.ready:
		return e, 0, nil
	default:
		w.gone = true
		return nil, leastReturn, err
	}
}

// Release ends a request on an endpoint and starts the next one that waits.
func (g *Gate) Release(e *wharfpick.Endpoint) {
	e.Release()
	if g.waiting.Load() > 0 {
		g.feed(e.Config().Service)
	}
}

// feed starts waiting requests for as long as there is room.
func (g *Gate) feed(service string) {
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
			w.pick.Now = now
			e, err := g.picker.Pick(w.pick)
			if err != nil {
				return
			}
			w.ready <- e
			l.started(now)
		}
		l.queue.Pop()
	}
}

func (l *line) started(now time.Time) {
	gap := min(now.Sub(l.released), longestGap)
	l.released = now
	l.gap = time.Duration(rateKept*float64(l.gap) + (1-rateKept)*float64(gap))
}

package wharfjobexecutor

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfjobrunner"
	"wagtailwharf.example/wharf/protocol/wharfframes"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/transport/wharfforwarder"
)

const (
	// firstEventTimeout bounds the wait for an item's first event. Online requests may be queued ahead of it in the
	// engine.
	firstEventTimeout = 4 * time.Second
	// eventGapTimeout bounds the pause between two events. An engine that preempts an item has to process its input
	// again.
	eventGapTimeout = 2 * time.Second
)

// smallOutputBytes is the size up to which an attempt's output is kept whatever the outputs of all attempts take: most outputs
// are far smaller.
const smallOutputBytes = 64 << 10

// errOverlong means that an endpoint sent more than an item can have.
var errOverlong = errors.New("output of the item is too long")

// Executor makes attempts at batch items. It implements wharfjobrunner.Executor.
type Executor struct {
	forwarder *wharfforwarder.Forwarder
	budget    int64        // bytes that the outputs of all attempts under way may take
	taken     atomic.Int64 // bytes that they take
}

// New returns an executor that sends items through forwarder. The outputs of all attempts under way take about budget bytes at
// most.
func New(forwarder *wharfforwarder.Forwarder, budget int64) *Executor {
	return &Executor{forwarder: forwarder, budget: budget}
}

// collector is a response sink that joins the data of events.
type collector struct {
	executor  *Executor
	status    int
	text      []byte
	maxBytes  int
	maxEvents int   // 0 for no bound
	received  int   // events of this attempt
	counted   int64 // bytes that are counted in executor.taken
	overlong  bool
	events    int // in this attempt, plus 1 if it resumes an earlier one
}

// WriteHeader records the status.
func (c *collector) WriteHeader(status int, _ http.Header) error {
	c.status = status
	return nil
}

// WriteEvent appends an event's data as a line. A block without data is no event.
func (c *collector) WriteEvent(e wharfframes.Event, _ bool) error {
	if !e.HasData {
		return nil
	}
	c.received++
	if !c.takes(len(e.Raw)) {
		c.overlong = true
		return errOverlong
	}
	if c.events > 0 {
		c.text = append(c.text, '\n')
	}
	c.events++
	c.text = e.AppendData(c.text)
	return nil
}

// takes reports whether the output may grow by an event of a size, and counts it if so.
func (c *collector) takes(size int) bool {
	if c.maxEvents > 0 && c.received > c.maxEvents || len(c.text)+size > c.maxBytes {
		return false
	}
	taken := c.executor.taken.Add(int64(size))
	c.counted += int64(size)
	return taken <= c.executor.budget || len(c.text)+size <= smallOutputBytes
}

// WriteBody ignores bodies that are not event streams.
func (c *collector) WriteBody([]byte) error {
	return nil
}

// Execute makes one attempt at an item.
func (e *Executor) Execute(ctx context.Context, task *wharfjobrunner.Task) wharfjobrunner.Outcome {
	c := &collector{executor: e, maxBytes: task.MaxBytes, maxEvents: task.MaxEvents}
	defer func() { e.taken.Add(-c.counted) }()
	if task.Attempt.Resumes {
		c.events = 1
	}
	result := e.forwarder.Do(ctx, &wharfforwarder.Exchange{
		Call:              &task.Call,
		Attempt:           task.Attempt,
		Address:           task.Placement.Endpoint.Address,
		Streaming:         true,
		FirstEventTimeout: firstEventTimeout,
		IdleTimeout:       eventGapTimeout,
		MaySend:           task.Placement.MaySend,
		OnResponse:        func(r wharfcall.Response) { task.Placement.Hear(r) },
	}, c)
	if c.overlong {
		result.Outcome, result.Err = wharfoutcome.Malformed, errOverlong
	}
	return wharfjobrunner.Outcome{
		Outcome:   result.Outcome,
		Err:       result.Err,
		Status:    c.status,
		Text:      c.text,
		LastEvent: result.LastEvent,
		Events:    result.Events,
		Overlong:  c.overlong,
	}
}

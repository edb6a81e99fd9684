package wharfjobexecutor

import (
	"context"
	"errors"
	"net/http"
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

// errOverlong means that an endpoint sent more than an item can have.
var errOverlong = errors.New("output of the item is too long")

// Executor makes attempts at batch items. It implements wharfjobrunner.Executor.
type Executor struct {
	forwarder *wharfforwarder.Forwarder
}

// New returns an executor that sends items through forwarder.
func New(forwarder *wharfforwarder.Forwarder) *Executor {
	return &Executor{forwarder: forwarder}
}

// collector is a response sink that joins the data of events.
type collector struct {
	status   int
	text     []byte
	maxBytes int
	overlong bool
	events   int // in this attempt, plus 1 if it resumes an earlier one
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
	if len(c.text)+len(e.Raw) > c.maxBytes {
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

// WriteBody ignores bodies that are not event streams.
func (c *collector) WriteBody([]byte) error {
	return nil
}

// Execute makes one attempt at an item.
func (e *Executor) Execute(ctx context.Context, task *wharfjobrunner.Task) wharfjobrunner.Outcome {
	c := &collector{maxBytes: task.MaxBytes}
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

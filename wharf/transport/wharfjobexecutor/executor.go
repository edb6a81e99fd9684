package wharfjobexecutor

import (
	"context"
	"net/http"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfjobrunner"
	"wagtailwharf.example/wharf/protocol/wharfframes"
	"wagtailwharf.example/wharf/transport/wharfforwarder"
)

const (
	// firstLimit bounds the wait for an item's first event: an engine may have a queue of online requests before it.
	firstLimit = 4 * time.Second
	// gapLimit bounds the pause between two events: an engine that preempts an item reads it again.
	gapLimit = 2 * time.Second
)

// Executor makes attempts; it implements wharfjobrunner.Executor.
type Executor struct {
	forwarder *wharfforwarder.Forwarder
}

// New returns an executor.
func New(forwarder *wharfforwarder.Forwarder) *Executor {
	return &Executor{forwarder: forwarder}
}

// collector keeps what the events hold.
type collector struct {
	status int
	text   []byte
	events int // before and in this attempt
}

// WriteHeader takes the status.
func (c *collector) WriteHeader(status int, _ http.Header) error {
	c.status = status
	return nil
}

// WriteEvent takes an event's data as one more line.
func (c *collector) WriteEvent(e wharfframes.Event, _ bool) error {
	if c.events > 0 {
		c.text = append(c.text, '\n')
	}
	c.events++
	c.text = e.AppendData(c.text)
	return nil
}

// WriteBody ignores the bodies of answers that are no streams.
func (c *collector) WriteBody([]byte) error {
	return nil
}

// Execute makes one attempt.
func (x *Executor) Execute(ctx context.Context, task *wharfjobrunner.Task) wharfjobrunner.Outcome {
	c := &collector{}
	if task.Attempt.Resumes {
		c.events = 1
	}
	outcome := x.forwarder.Do(ctx, &wharfforwarder.Exchange{
		Call:              &task.Call,
		Attempt:           task.Attempt,
		Address:           task.Placement.Endpoint.Address,
		Streaming:         true,
		FirstEventTimeout: firstLimit,
		IdleTimeout:       gapLimit,
	}, c)
	return wharfjobrunner.Outcome{
		Verdict:   outcome.Verdict,
		Err:       outcome.Err,
		Status:    c.status,
		Text:      c.text,
		LastEvent: outcome.LastEvent,
		Events:    outcome.Events,
	}
}

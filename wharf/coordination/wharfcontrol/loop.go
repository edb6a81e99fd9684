package wharfcontrol

import (
	"context"
	"errors"
)

const queueLength = 1024

// ErrStopped says that the control goroutine has ended.
var ErrStopped = errors.New("control goroutine has ended")

// Loop runs functions one after another on the goroutine that owns control state.
type Loop struct {
	events chan func()
	done   chan struct{}
}

// New returns a loop that Serve must run.
func New() *Loop {
	return &Loop{events: make(chan func(), queueLength), done: make(chan struct{})}
}

// Serve runs events until ctx ends; it may be called once.
func (l *Loop) Serve(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case event := <-l.events:
			event()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Do runs event on the control goroutine and waits for its end; it returns ErrStopped or ctx's error if it did not run.
func (l *Loop) Do(ctx context.Context, event func()) error {
	ran := make(chan struct{})
	wrapped := func() {
		event()
		close(ran)
	}
	select {
	case l.events <- wrapped:
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ran:
		return nil
	case <-l.done:
		return ErrStopped
	}
}

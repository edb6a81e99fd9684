package wharfcontrol

import (
	"context"
	"errors"
)

const queueLength = 1024

// ErrStopped is returned once the event loop has ended.
var ErrStopped = errors.New("control goroutine has ended")

// Loop runs functions one after another on the control goroutine, which owns the control state.
type Loop struct {
	events chan func()
	done   chan struct{}
}

// New returns a Loop. Its functions run while Serve does.
func New() *Loop {
	return &Loop{events: make(chan func(), queueLength), done: make(chan struct{})}
}

// Serve runs queued functions until ctx is done. It may be called once.
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

// Do runs event on the control goroutine and waits until it has returned. It returns ErrStopped or ctx's error if the
// event did not run.
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

package wharfbatch

import (
	"context"
	"errors"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfjob"
)

// Sentinel errors of the execution of an item.
var (
	// ErrRetry is returned when the item was not completed and may be retried.
	ErrRetry = errors.New("item may be tried again")
	// ErrPreempted is the cancellation cause of an item that was stopped for online requests; its progress is kept.
	ErrPreempted = errors.New("item was preempted by online requests")
	// ErrEndpointLost is returned when the endpoint broke the connection while it ran the item. That is not held against
	// the item.
	ErrEndpointLost = errors.New("endpoint was lost while it ran the item")
	// ErrPoison is returned when online requests like the item have crashed endpoints, and it must not be run.
	ErrPoison = errors.New("item crashes the endpoints that run it")
)

// Task is one item to run on an endpoint.
type Task struct {
	Organisation string
	Service      string
	Endpoint     wharfconfig.Endpoint
	Line         wharfjob.Line
	RequestID    string
	Progress     Progress
}

// Progress is the part of an answer that was generated before the item was preempted.
type Progress struct {
	Tokens int
	Text   string
}

// Outcome is the answer to an item or, if the item was preempted, its progress.
type Outcome struct {
	StatusCode int
	Body       []byte
	Progress   Progress
}

// Executor runs items on endpoints. Its errors are ErrRetry, ErrEndpointLost, ErrPoison or those of ctx. If the cause of
// ctx's end is ErrPreempted, the outcome holds the progress so far.
type Executor interface {
	Execute(ctx context.Context, task Task) (Outcome, error)
}

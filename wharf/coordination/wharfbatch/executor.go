package wharfbatch

import (
	"context"
	"errors"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfjob"
)

// Sentinel errors of the execution of an item.
var (
	// ErrRetry says that the item was not done and may be tried again.
	ErrRetry = errors.New("item may be tried again")
	// ErrPreempted says that the item was stopped for online requests, with its progress kept.
	ErrPreempted = errors.New("item gave way to online requests")
	// ErrPoison says that the item crashes endpoints and is never tried again.
	ErrPoison = errors.New("item crashes the endpoints that run it")
)

// Task is one item to be run on an endpoint.
type Task struct {
	Organisation string
	Service      string
	Endpoint     wharfconfig.Endpoint
	Line         wharfjob.Line
	RequestID    string
	Progress     Progress
}

// Progress is the part of an answer that was generated before the item gave way.
type Progress struct {
	Tokens int
	Text   string
}

// Outcome is the answer to an item, or the progress it has made.
type Outcome struct {
	StatusCode int
	Body       []byte
	Progress   Progress
}

// Executor runs items on endpoints. Its errors are ErrRetry, ErrPoison or those of ctx, whose
// cause ErrGaveWay asks for the progress to be kept.
type Executor interface {
	Execute(ctx context.Context, task Task) (Outcome, error)
}

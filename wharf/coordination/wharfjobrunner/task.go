package wharfjobrunner

import (
	"context"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// Task is one attempt at an item.
type Task struct {
	Call      wharfcall.Call
	Attempt   wharfcall.Attempt
	Placement *wharffleet.Placement
	Route     *wharfroute.Route
}

// Outcome is what an attempt has brought.
type Outcome struct {
	Verdict   wharfoutcome.Outcome // 0 if the endpoint has answered, with whatever status
	Err       error
	Status    int
	Text      []byte // data of the events, a line each
	LastEvent int    // number of the last event
	Events    int
}

// Executor makes attempts; the end of ctx stops one, with what it has brought so far.
type Executor interface {
	Execute(ctx context.Context, task *Task) Outcome
}

// work is a job that this host runs; the runner's lock guards it.
type work struct {
	job     wharfjobstore.Job
	items   []*item
	loading bool
	listing bool
	done    []pending // results that are not listed yet
	since   time.Time // the first of them
}

// item is one item of a job on its way.
type item struct {
	wharfcall.Item
	index     int
	job       *work
	text      []byte
	lastEvent int
	events    int
	failures  int // answers that say that the endpoint failed
	breaks    int // endpoints that broke under it
	notBefore time.Time
	cancel    context.CancelFunc // while it runs
	endpoint  string
	started   time.Time
	ran       time.Duration // in attempts that were stopped, as far as their text is kept
	finished  bool
}

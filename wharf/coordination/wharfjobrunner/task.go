package wharfjobrunner

import (
	"context"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfverdict"
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
	Verdict   wharfverdict.Verdict // 0 if the endpoint has answered, with whatever status
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

// activeJob is a job that this host runs; the runner's lock guards it.
type activeJob struct {
	job           wharfjobstore.Job
	items         []*item
	loading       bool
	writing       bool
	unlisted      []pendingResult // results that are not listed yet
	unlistedSince time.Time       // the first of them
}

// item is one item of a job on its way.
type item struct {
	wharfcall.Item
	index     int
	job       *activeJob
	text      []byte
	lastEvent int
	events    int
	failures  int // answers that say that the endpoint failed
	breaks    int // endpoints that broke under it
	notBefore time.Time
	cancel    context.CancelFunc // while it runs
	endpoint  string
	started   time.Time
	runTime   time.Duration // in attempts that were stopped, as far as their text is kept
	finished  bool
}

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

// Task describes one attempt at an item.
type Task struct {
	Call      wharfcall.Call
	Attempt   wharfcall.Attempt
	Placement *wharffleet.Placement
	Route     *wharfroute.Route
	MaxBytes  int // that the item's output may still grow by
	MaxEvents int // that the item may still have, 0 for no bound
}

// Outcome is the result of an attempt.
type Outcome struct {
	Outcome   wharfoutcome.Outcome // 0 if the endpoint answered, with any status
	Err       error
	Status    int
	Text      []byte // data of the events, one line each
	LastEvent int    // number of the last event
	Events    int
	EventSpan time.Duration // from the first event to the last, 0 if that says nothing about the endpoint
	Overlong  bool          // the endpoint sent more than the task allows, so that the output is not that of the item
}

// Executor runs attempts. When ctx ends, Execute stops and returns the output so far.
type Executor interface {
	Execute(ctx context.Context, task *Task) Outcome
}

// activeJob is a job that this host runs, guarded by Runner.mu.
type activeJob struct {
	job            wharfjobstore.Job
	items          []*item
	loading        bool
	writing        bool
	pendingResults []pendingResult // not written to the store yet
	batchingSince  time.Time       // start of the resultBatchDelay for pendingResults
	writeAfter     time.Time       // no write before, after one that failed
	writeBackoff   time.Duration
}

// item is the run state of one item of a job.
type item struct {
	wharfcall.Item
	index       int
	job         *activeJob
	text        []byte
	lastEvent   int
	events      int
	origin      wharfcall.Origin // of the text so far, if there are events
	failures    int              // attempts whose answer says that the endpoint failed
	recorded    int              // of the failures, those in the job's row
	disconnects int              // attempts during which the connection was lost
	notBefore   time.Time
	cancel      context.CancelFunc // nil unless the item is running
	endpoint    string
	started     time.Time
	stopped     time.Time     // end of the last attempt
	runTime     time.Duration // over all attempts whose output is kept
	finished    bool
	checked     bool // by rejectItem
}

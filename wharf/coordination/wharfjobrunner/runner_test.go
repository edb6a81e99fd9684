package wharfjobrunner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfroute"
)

const (
	eventsPerItem = 10
	eventInterval = 200 * time.Millisecond
)

var errStopped = errors.New("stopped")

// engine is an Executor that produces eventsPerItem events per item unless respond decides otherwise.
type engine struct {
	mu      sync.Mutex
	runs    map[string]int // by item ID
	respond func(task *Task, run int) (Outcome, bool)
	starts  []time.Time
	tasks   []*Task
}

func (e *engine) Execute(ctx context.Context, task *Task) Outcome {
	e.mu.Lock()
	e.runs[task.Call.ID]++
	e.starts = append(e.starts, time.Now())
	e.tasks = append(e.tasks, task)
	run := e.runs[task.Call.ID]
	respond := e.respond
	e.mu.Unlock()
	if respond != nil {
		if outcome, decided := respond(task, run); decided {
			return outcome
		}
	}
	outcome := Outcome{Status: http.StatusOK, LastEvent: task.Attempt.LastEvent}
	for outcome.LastEvent < eventsPerItem {
		select {
		case <-time.After(eventInterval):
		case <-ctx.Done():
			outcome.Outcome, outcome.Err = wharfoutcome.CallerGone, errStopped
			return outcome
		}
		outcome.LastEvent++
		outcome.Events++
		if outcome.LastEvent > 1 {
			outcome.Text = append(outcome.Text, '\n')
		}
		outcome.Text = fmt.Appendf(outcome.Text, "%s.%d", task.Call.ID, outcome.LastEvent)
	}
	return outcome
}

func completeOutput(id string) string {
	text := ""
	for event := 1; event <= eventsPerItem; event++ {
		if event > 1 {
			text += "\n"
		}
		text += fmt.Sprintf("%s.%d", id, event)
	}
	return text
}

type testHost struct {
	jobs       *wharfjobstore.Store
	runner     *Runner
	fleet      *wharffleet.Fleet
	engine     *engine
	peers      atomic.Pointer[[]wharfgossip.Peer]
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

func newTestHost(
	store wharfrecords.Store, name string, incarnation uint64, endpoints int, configure ...func(h *testHost),
) *testHost {
	h := &testHost{engine: &engine{runs: map[string]int{}}, fleet: wharffleet.New(name, "zone", func() {})}
	h.hear()
	var list []wharffleet.Endpoint
	for i := range endpoints {
		list = append(list, wharffleet.Endpoint{ID: fmt.Sprint("e", i), Version: "v1", Service: "s", Zone: "zone", Slots: 4,
			Address: netip.MustParseAddrPort("10.0.0.1:80")})
	}
	h.fleet.Update(list)
	table := wharfroute.New(wharfroute.Configuration{Version: 1, Routes: []wharfroute.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Kind: wharfroute.Batch, Targets: []wharfroute.Target{{Service: "s", Weight: 1}},
		MaxAttempts: 3, CompletionTarget: 20 * time.Second, MaxWait: time.Minute,
	}}})
	h.jobs = wharfjobstore.New(wharfjobstore.Options{Records: store, Host: name, Incarnation: incarnation, Region: "a"})
	h.runner = New(Options{
		Host: name, Incarnation: incarnation, Jobs: h.jobs, Fleet: h.fleet, Executor: h.engine,
		Table:     func() *wharfroute.Table { return table },
		Peers:     func() []wharfgossip.Peer { return *h.peers.Load() },
		Allocator: newLocalAllocator(h.fleet),
		Retention: 2 * time.Minute,
	})
	for _, f := range configure {
		f(h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.goroutines.Go(func() { _ = h.jobs.Serve(ctx) })
	h.goroutines.Go(func() { _ = h.runner.Serve(ctx) })
	return h
}

// newLocalAllocator returns an allocator of a host that places its items itself.
func newLocalAllocator(fleet *wharffleet.Fleet) *wharfallocator.Allocator {
	return wharfallocator.New(wharfallocator.Options{
		Fleet: fleet, Gate: wharfgate.New[*wharffleet.Placement](),
		Allocators: func() []wharfgossip.AllocatorHost { return nil },
	})
}

// hear sets what the host knows of all others.
func (h *testHost) hear(peers ...wharfgossip.Peer) {
	h.peers.Store(&peers)
}

func (h *testHost) kill() {
	h.stop()
	h.goroutines.Wait()
}

func submit(t *testing.T, h *testHost, id string, items int) {
	t.Helper()
	s := wharfjobstore.Submission{ID: id, Organisation: "org", Route: "r", Host: "h"}
	for i := range items {
		s.Items = append(s.Items, wharfcall.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/p", Tokens: 600})
	}
	assert.NilError(t, h.jobs.Submit(context.Background(), s))
}

// output returns the outputs of a job by item ID, with "" for an item that failed.
func output(t *testing.T, h *testHost, id string) map[string]string {
	t.Helper()
	job, err := h.jobs.Fetch(context.Background(), "org", id)
	assert.NilError(t, err)
	results, err := h.jobs.Results(context.Background(), job, 0, 1<<20)
	assert.NilError(t, err)
	texts := map[string]string{}
	for _, r := range results.Results {
		_, twice := texts[r.ItemID]
		assert.Assert(t, !twice, "item %s is listed twice", r.ItemID)
		texts[r.ItemID] = r.Output
	}
	return texts
}

func assertComplete(t *testing.T, h *testHost, id string, items int) {
	t.Helper()
	texts := output(t, h, id)
	assert.Equal(t, len(texts), items)
	for i := range items {
		item := fmt.Sprintf("%s-%d", id, i)
		assert.Equal(t, texts[item], completeOutput(item))
	}
}

func TestJobRunsToCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 2)
		submit(t, h, "job", 12)
		time.Sleep(10 * time.Second)
		assertComplete(t, h, "job", 12)
		h.kill()
	})
}

func TestPreemptedItemsResumeAfterLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 1)
		submit(t, h, "job", 4)
		time.Sleep(time.Second)
		assert.Equal(t, h.runner.Running(), 4, "all four slots are used without online requests")
		for range 4 {
			assert.Assert(t, h.runner.Preempt("e0"))
		}
		time.Sleep(10 * time.Second)
		assertComplete(t, h, "job", 4)
		h.kill()
	})
}

func TestFailingItemsStopAfterMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 2)
		h.engine.respond = func(task *Task, run int) (Outcome, bool) {
			switch {
			case task.Call.ID == "job-0":
				return Outcome{Outcome: wharfoutcome.Failed, Err: errStopped}, true
			case task.Call.ID == "job-1":
				return Outcome{Status: http.StatusUnprocessableEntity}, true
			case run < 3:
				return Outcome{Outcome: wharfoutcome.Failed, Err: errStopped}, true
			}
			return Outcome{}, false
		}
		submit(t, h, "job", 3)
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, output(t, h, "job"), map[string]string{"job-0": "", "job-1": "", "job-2": completeOutput("job-2")})
		assert.Equal(t, h.engine.runs["job-0"], 3, "item is attempted MaxAttempts times")
		assert.Equal(t, h.engine.runs["job-1"], 1)
		h.kill()
	})
}

// TestItemRunsAgainAfterConnectionResets guards against an item that is not started for a minute after a partition of
// a zone reset three of its connections, as in scale-2 --seed 478409715780.
func TestItemRunsAgainAfterConnectionResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 2)
		cutUntil := time.Now().Add(3 * time.Second)
		h.engine.respond = func(*Task, int) (Outcome, bool) {
			return Outcome{Outcome: wharfoutcome.ConnectionLost, Err: errStopped}, time.Now().Before(cutUntil)
		}
		submit(t, h, "job", 2)
		time.Sleep(15 * time.Second)
		assertComplete(t, h, "job", 2)
		h.kill()
	})
}

// TestItemWithEventsIsNotSuspectedOfCrashes guards against a backoff of ten seconds for an item that had produced
// events and whose resumed runs then lost their connections four times in a row.
func TestItemWithEventsIsNotSuspectedOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 2)
		h.engine.respond = func(task *Task, run int) (Outcome, bool) {
			if run == 1 {
				return Outcome{Outcome: wharfoutcome.ConnectionLost, Err: errStopped, Events: 1, LastEvent: 1, Text: []byte(task.Call.ID + ".1")}, true
			}
			return Outcome{Outcome: wharfoutcome.ConnectionLost, Err: errStopped}, run <= 4
		}
		submit(t, h, "job", 1)
		time.Sleep(6 * time.Second)
		assertComplete(t, h, "job", 1)
		h.kill()
	})
}

// TestItemThatLosesEachEndpointIsStartedSeldom guards against an item that takes endpoints down as fast as they come back.
func TestItemThatLosesEachEndpointIsStartedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 2)
		h.engine.respond = func(*Task, int) (Outcome, bool) {
			return Outcome{Outcome: wharfoutcome.ConnectionLost, Err: errStopped}, true
		}
		submit(t, h, "job", 1)
		time.Sleep(2 * time.Minute)
		assert.DeepEqual(t, output(t, h, "job"), map[string]string{"job-0": ""})
		starts := h.engine.starts
		for i := 4; i < len(starts); i++ {
			pause := starts[i].Sub(starts[i-1])
			assert.Check(t, pause >= 3*time.Second, "start %d came after %v", i, pause)
		}
		h.kill()
	})
}

// TestItemUnderWhichEndpointsCrashedIsRunAgain guards against an item that is never placed again after a burst of crashes.
func TestItemUnderWhichEndpointsCrashedIsRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 2)
		const crashes = 9
		h.engine.respond = func(_ *Task, run int) (Outcome, bool) {
			return Outcome{Outcome: wharfoutcome.ConnectionLost, Err: errStopped}, run <= crashes
		}
		submit(t, h, "job", 1)
		time.Sleep(50 * time.Second)
		assertComplete(t, h, "job", 1)
		starts := h.engine.starts
		assert.Equal(t, len(starts), crashes+1)
		for i := range crashes {
			pause := starts[i+1].Sub(starts[i])
			assert.Check(t, pause <= maxDisconnectBackoff+time.Second, "start %d came after %v", i+1, pause)
			assert.Check(t, i < 3 || pause >= 3*time.Second, "start %d came after %v", i+1, pause)
		}
		h.kill()
	})
}

func TestJobsOfRestartedHostAreAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		a := newTestHost(store, "a", 1, 2)
		submit(t, a, "job", 8)
		time.Sleep(2500 * time.Millisecond)
		a.kill()
		a = newTestHost(store, "a", 2, 2)
		time.Sleep(10 * time.Second)
		assertComplete(t, a, "job", 8)
		a.kill()
	})
}

func TestJobsOfEndedHostAreAdoptedByOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		a, b, c := newTestHost(store, "a", 1, 2), newTestHost(store, "b", 1, 2), newTestHost(store, "c", 1, 2)
		submit(t, a, "job", 4)
		time.Sleep(500 * time.Millisecond)
		a.kill()
		ended := wharfgossip.Peer{Host: "a", Incarnation: 1, Presence: wharfgossip.Ended}
		alive := func(name string) wharfgossip.Peer {
			return wharfgossip.Peer{Host: name, Incarnation: 1, Presence: wharfgossip.Alive, LastHeard: time.Now()}
		}
		b.hear(ended, alive("c"))
		c.hear(ended, alive("b"))
		time.Sleep(10 * time.Second)
		assertComplete(t, b, "job", 4)
		assert.Assert(t, len(b.engine.runs) == 0 || len(c.engine.runs) == 0, "exactly one host ran the items")
		b.kill()
		c.kill()
	})
}

// startOutage starts hosts a, b and c, submits jobs of 40 items to a and takes the store away for 7 s. When it is back, all hosts
// have heard of the others that they can't reach it.
func startOutage(t *testing.T, jobs int, during func(a *testHost)) (store *wharfmemorystore.Store, hosts []*testHost) {
	store = wharfmemorystore.New()
	for _, name := range []string{"a", "b", "c"} {
		hosts = append(hosts, newTestHost(store, name, 1, 2))
	}
	hearAll(hosts, 1, wharfgossip.Status{})
	for job := range jobs {
		submit(t, hosts[0], fmt.Sprint("job-", job), 40)
	}
	time.Sleep(500 * time.Millisecond)
	store.SetFault(func(string) error { return wharfrecords.ErrUnavailable })
	during(hosts[0])
	time.Sleep(7 * time.Second)
	hearAll(hosts, 1, wharfgossip.Status{StoreUnreachable: true})
	store.SetFault(nil)
	return store, hosts
}

// hearAll makes each host hear the status of all others, and the incarnation of the first.
func hearAll(hosts []*testHost, incarnation uint64, status wharfgossip.Status) {
	for i, h := range hosts {
		var peers []wharfgossip.Peer
		for j, name := range []string{"a", "b", "c"}[:len(hosts)] {
			if p := (wharfgossip.Peer{Host: name, Incarnation: 1, Presence: wharfgossip.Alive, LastHeard: time.Now(), Status: status}); i != j {
				if j == 0 {
					p.Incarnation = incarnation
				}
				peers = append(peers, p)
			}
		}
		h.hear(peers...)
	}
}

// TestOutageOfTheStoreForAllHostsMovesNoJobs guards against hosts that, when the store returns, take each other's jobs for
// orphaned, since what they have heard of the others is older than the return.
func TestOutageOfTheStoreForAllHostsMovesNoJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, hosts := startOutage(t, 1, func(*testHost) {})
		time.Sleep(2 * time.Second) // the digests of a large fleet take as long
		hearAll(hosts, 1, wharfgossip.Status{})
		time.Sleep(6 * time.Second)
		assertComplete(t, hosts[0], "job-0", 40)
		assert.Equal(t, len(hosts[1].engine.runs)+len(hosts[2].engine.runs), 0)
		killAll(hosts)
	})
}

func killAll(hosts []*testHost) {
	for _, h := range hosts {
		h.kill()
	}
}

// TestJobsOfHostRestartedInAnOutageAreAdoptedInTurn guards against hosts that all think that they come first, since they have
// heard of no other one that it reaches the store, and that all write to it at the moment of its return.
func TestJobsOfHostRestartedInAnOutageAreAdoptedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 10
		store, hosts := startOutage(t, jobs, (*testHost).kill)
		hearAll(hosts, 2, wharfgossip.Status{StoreUnreachable: true})
		var writes atomic.Int64
		for _, h := range hosts[1:] {
			h.engine.respond = func(*Task, int) (Outcome, bool) { time.Sleep(time.Minute); return Outcome{}, false }
		}
		store.SetFault(func(operation string) error {
			if operation == "commit" {
				writes.Add(1)
			}
			return nil
		})
		time.Sleep(4 * time.Second)
		assert.Assert(t, writes.Load() >= jobs && writes.Load() <= jobs*5/4, "%d writes to adopt %d jobs", writes.Load(), jobs)
		killAll(hosts[1:])
	})
}

func TestJobsOfHostThatCanNotReachTheStoreAreAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		a, b := newTestHost(store, "a", 1, 2), newTestHost(store, "b", 1, 2)
		submit(t, a, "job", 4)
		time.Sleep(500 * time.Millisecond)
		a.kill()
		hearAll([]*testHost{a, b}, 1, wharfgossip.Status{StoreUnreachable: true})
		time.Sleep(8 * time.Second)
		assertComplete(t, b, "job", 4)
		b.kill()
	})
}

func TestIsolatedHostAdoptsNoJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		a, b := newTestHost(store, "a", 1, 2), newTestHost(store, "b", 1, 2)
		submit(t, a, "job", 4)
		ended := func(name string) wharfgossip.Peer {
			return wharfgossip.Peer{Host: name, Incarnation: 1, Presence: wharfgossip.Ended}
		}
		b.hear(ended("a"), ended("c"), ended("d"))
		time.Sleep(6 * time.Second)
		assertComplete(t, a, "job", 4)
		assert.Equal(t, len(b.engine.runs), 0)
		a.kill()
		b.kill()
	})
}

func TestLeavingHostReleasesJobsWithProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		a, b := newTestHost(store, "a", 1, 1), newTestHost(store, "b", 1, 2)
		alive := func(name string) []wharfgossip.Peer {
			return []wharfgossip.Peer{{Host: name, Incarnation: 1, Presence: wharfgossip.Alive, LastHeard: time.Now()}}
		}
		a.hear(alive("b")...)
		b.hear(alive("a")...)
		submit(t, a, "job", 6)
		time.Sleep(3 * time.Second)
		a.runner.Close(context.Background())
		a.kill()
		time.Sleep(10 * time.Second)
		assertComplete(t, b, "job", 6)
		assert.Assert(t, len(b.engine.runs) < 6, "completed items did not run again")
		resumed := 0
		for _, task := range b.engine.tasks {
			if task.Attempt.Resumes {
				resumed++
			}
		}
		assert.Assert(t, resumed > 0, "items resumed after the last event on the leaving host")
		b.kill()
	})
}

func TestResultsAreWrittenAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		h := newTestHost(store, "a", 1, 2)
		submit(t, h, "job", 4)
		time.Sleep(time.Second)
		store.SetFault(func(string) error { return wharfrecords.ErrUnavailable })
		time.Sleep(20 * time.Second)
		store.SetFault(nil)
		time.Sleep(5 * time.Second)
		assertComplete(t, h, "job", 4)
		for item, runs := range h.engine.runs {
			assert.Equal(t, runs, 1, "item %s", item)
		}
		h.kill()
	})
}

func TestEndedJobStopsItsItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		a, b := newTestHost(store, "a", 1, 2), newTestHost(store, "b", 1, 2)
		submit(t, a, "job", 6)
		time.Sleep(500 * time.Millisecond)
		assert.NilError(t, b.jobs.End(context.Background(), "org", "job"))
		time.Sleep(time.Second)
		assert.Equal(t, a.runner.Running(), 0)
		a.kill()
		b.kill()
	})
}

func TestJobsAreRemovedAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wharfmemorystore.New()
		a, b := newTestHost(store, "a", 1, 4), newTestHost(store, "b", 1, 4)
		alive := func(name string) []wharfgossip.Peer {
			return []wharfgossip.Peer{{Host: name, Incarnation: 1, Presence: wharfgossip.Alive, LastHeard: time.Now()}}
		}
		a.hear(alive("b")...)
		b.hear(alive("a")...)
		submit(t, a, "job", 120)
		time.Sleep(110 * time.Second)
		assertComplete(t, b, "job", 120)
		job, err := b.jobs.Fetch(context.Background(), "org", "job")
		assert.NilError(t, err)
		_, err = store.GetObject(context.Background(), job.Object)
		assert.NilError(t, err)
		// A cleanup starts at most one interval after the retention.
		time.Sleep(retentionMargin + 2*cleanupInterval + time.Second)
		_, err = b.jobs.Fetch(context.Background(), "org", "job")
		assert.Assert(t, errors.Is(err, wharfjobstore.ErrNotFound))
		for _, table := range []string{"wharf-results", "wharf-progress"} {
			parts, err := store.Parts(context.Background(), table)
			assert.NilError(t, err)
			assert.Equal(t, len(parts), 0, "table %s still has parts", table)
		}
		_, err = store.GetObject(context.Background(), job.Object)
		assert.Assert(t, errors.Is(err, wharfrecords.ErrNotFound))
		a.kill()
		b.kill()
	})
}

// TestItemThatCannotBeSentIsGivenUp guards against items of jobs that a build before accepted, whose path holds another request.
func TestItemThatCannotBeSentIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(wharfmemorystore.New(), "a", 1, 2)
		s := wharfjobstore.Submission{ID: "job", Organisation: "org", Route: "r", Host: "h", Items: []wharfcall.Item{
			{ID: "job-0", Path: "/p", Tokens: 600}, {ID: "evil", Path: "/p HTTP/1.1\r\n\r\nPOST /q", Tokens: 600},
		}}
		assert.NilError(t, h.jobs.Submit(context.Background(), s))
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, output(t, h, "job"), map[string]string{"job-0": completeOutput("job-0"), "evil": ""})
		assert.Equal(t, h.engine.runs["evil"], 0)
		h.kill()
	})
}

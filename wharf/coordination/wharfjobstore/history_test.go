package wharfjobstore

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharftask"
)

const (
	historySeeds      = 40
	historyHosts      = 4
	operationsPerHost = 9
	historyItems      = 4
	// faultProbability is the share of store calls that fail; half of the failing writes take effect.
	faultProbability = 0.2
	// operationTimeout bounds one operation, so that some end with an unknown outcome.
	operationTimeout = 400 * time.Millisecond
)

// operation is an operation of a host on the single job of a history.
type operation struct {
	kind  string
	host  string
	owner string // as seen by a host that adopts
	item  int
}

// outcome is the result of an operation as the host received it.
type outcome struct {
	err   error
	found modelJob
}

// modelJob is the state of the job in the linearizability model.
type modelJob struct {
	exists, ended bool
	owner, listed string
}

func (j modelJob) open() bool {
	return j.exists && !j.ended && len(j.listed) < historyItems
}

func modelJobOf(job Job) modelJob {
	j := modelJob{exists: true, ended: job.Cancelled, owner: job.Owner}
	for _, item := range job.ResultOrder {
		j.listed += fmt.Sprint(item)
	}
	return j
}

// apply returns the job after an operation, and whether the store must refuse the operation.
func apply(j modelJob, o operation) (after modelJob, refused bool) {
	switch o.kind {
	case "submit":
		if !j.exists {
			return modelJob{exists: true, owner: o.host}, false
		}
	case "end":
		if !j.exists {
			return j, true
		}
		j.ended = true
	case "adopt":
		if !j.open() || j.owner != o.owner {
			return j, true
		}
		j.owner = o.host
	case "list":
		if !j.exists || j.ended || j.owner != o.host {
			return j, true
		}
		if item := fmt.Sprint(o.item); !strings.Contains(j.listed, item) {
			j.listed += item
		}
	}
	return j, false
}

// step returns the possible states after an operation. An operation with an unknown outcome may or may not have taken
// effect; a submission that failed as unavailable has not.
func step(state, input, output any) []any {
	before, o, out := state.(modelJob), input.(operation), output.(outcome)
	after, refused := apply(before, o)
	switch {
	case o.kind == "fetch" && out.err == nil && out.found != before, errors.Is(out.err, ErrOwnershipLost) && !refused:
		return nil
	case errors.Is(out.err, ErrNotFound) && before.exists, out.err == nil && refused:
		return nil
	case out.err == nil:
		return []any{after}
	case errors.Is(out.err, ErrOwnershipLost), errors.Is(out.err, ErrNotFound), o.kind == "fetch":
		return []any{before}
	case o.kind == "submit" && errors.Is(out.err, wharfrecords.ErrUnavailable):
		return []any{before}
	}
	return []any{before, after}
}

// history records the operations of one run.
type history struct {
	mu         sync.Mutex
	clock      atomic.Int64
	operations []porcupine.Operation
}

func (h *history) record(client int, o operation, do func() outcome) outcome {
	call := h.clock.Add(1)
	out := do()
	end := h.clock.Add(1)
	if out.err != nil && !errors.Is(out.err, ErrOwnershipLost) && !errors.Is(out.err, ErrNotFound) {
		end = math.MaxInt64 // the transaction may still take effect later
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: o, Output: out, Call: call, Return: end})
	return out
}

// randomFaults returns a fault function that fails random calls to the store.
func randomFaults(random *rand.Rand) func(call string) error {
	var mu sync.Mutex
	return func(string) error {
		mu.Lock()
		defer mu.Unlock()
		switch draw := random.Float64(); {
		case draw < faultProbability/2:
			return wharfrecords.ErrUnavailable
		case draw < faultProbability:
			return wharfrecords.ErrUnknown
		}
		return nil
	}
}

// runHost performs a sequence of random operations on the job as one host.
func (h *history) runHost(client int, jobs *Store, random *rand.Rand) {
	name := fmt.Sprint("host-", client)
	kinds := []string{"submit", "list", "list", "list", "adopt", "fetch", "fetch", "end"}
	for range operationsPerHost {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		kind := kinds[random.IntN(len(kinds))]
		if kind == "end" && random.IntN(4) > 0 {
			kind = "list"
		}
		seen, known := jobs.Cached("org", "job")
		if !known && (kind == "list" || kind == "adopt") {
			kind = "fetch"
		}
		o := operation{kind: kind, host: name, owner: seen.Owner, item: random.IntN(historyItems)}
		h.record(client, o, func() outcome { return perform(jobs, o, seen) })
	}
}

func perform(jobs *Store, o operation, seen Job) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	switch o.kind {
	case "submit":
		return outcome{err: jobs.Submit(ctx, submission("job", historyItems))}
	case "end":
		return outcome{err: jobs.End(ctx, "org", "job")}
	case "adopt":
		_, err := jobs.Adopt(ctx, seen)
		return outcome{err: err}
	case "list":
		_, err := jobs.AppendResults(ctx, seen, []wharftask.Result{{ItemID: fmt.Sprint("item-", o.item), Completed: true, Output: "text"}})
		return outcome{err: err}
	}
	job, err := jobs.Fetch(ctx, "org", "job")
	if err != nil {
		return outcome{err: err}
	}
	return outcome{found: modelJobOf(job)}
}

// runHistory runs all hosts concurrently against one store, with operations and faults derived from seed.
func runHistory(seed uint64) *history {
	store := wharfmemorystore.New()
	store.SetFault(randomFaults(rand.New(rand.NewPCG(seed, 0))))
	var h history
	var hosts sync.WaitGroup
	for client := range historyHosts {
		jobs := newStore(store, fmt.Sprint("host-", client))
		hosts.Go(func() { h.runHost(client, jobs, rand.New(rand.NewPCG(seed, uint64(client+1)))) })
	}
	hosts.Wait()
	return &h
}

// log logs the operations in the order in which they began.
func (h *history) log(t *testing.T) {
	t.Helper()
	slices.SortFunc(h.operations, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for _, o := range h.operations {
		t.Logf("%d to %d: %+v %+v", o.Call, o.Return, o.Input, o.Output)
	}
}

// TestHistoriesOfOneJobAreLinearizable has hosts submit, adopt, append to, end and read one job concurrently while
// store calls fail, and checks that the recorded histories are linearizable.
func TestHistoriesOfOneJobAreLinearizable(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{modelJob{}} },
		Step:  step,
		Equal: func(a, b any) bool { return a == b },
	}
	answered := map[string]int{}
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			h := runHistory(seed)
			for _, o := range h.operations {
				if o.Output.(outcome).err == nil {
					answered[o.Input.(operation).kind]++
				}
			}
			if !porcupine.CheckOperations(model.ToModel(), h.operations) {
				h.log(t)
				t.Fatalf("seed %d: history is not linearizable", seed)
			}
		})
	}
	for _, kind := range []string{"submit", "adopt", "list", "end", "fetch"} {
		assert.Assert(t, answered[kind] >= historySeeds/2, "%s succeeded only %d times: %v", kind, answered[kind], answered)
	}
}

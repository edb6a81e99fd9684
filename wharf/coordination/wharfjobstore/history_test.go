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
	historySeeds = 40
	historyHosts = 4
	historySteps = 9
	historyItems = 4
	// faultShare is the part of the store's calls that fail, half of them after a writing call's effect.
	faultShare = 0.2
	// callTime bounds one operation, so that some end without knowing what has come of them.
	callTime = 400 * time.Millisecond
)

// operation is what a host does to the one job of a history.
type operation struct {
	kind  string
	host  string
	owner string // that an adopting host has seen
	item  int
}

// outcome is what the host was told.
type outcome struct {
	err   error
	found row
}

// row is the job as a history's model knows it.
type row struct {
	exists, ended bool
	owner, listed string
}

func (r row) open() bool {
	return r.exists && !r.ended && len(r.listed) < historyItems
}

func rowOf(job Job) row {
	r := row{exists: true, ended: job.Cancelled, owner: job.Owner}
	for _, item := range job.ResultOrder {
		r.listed += fmt.Sprint(item)
	}
	return r
}

// apply returns the job after an operation, and whether it is one that the book has to refuse.
func apply(r row, o operation) (after row, refused bool) {
	switch o.kind {
	case "submit":
		if !r.exists {
			return row{exists: true, owner: o.host}, false
		}
	case "end":
		if !r.exists {
			return r, true
		}
		r.ended = true
	case "adopt":
		if !r.open() || r.owner != o.owner {
			return r, true
		}
		r.owner = o.host
	case "list":
		if !r.exists || r.ended || r.owner != o.host {
			return r, true
		}
		if item := fmt.Sprint(o.item); !strings.Contains(r.listed, item) {
			r.listed += item
		}
	}
	return r, false
}

// step returns the states that may follow. What ended without an answer may have come about or not; a submission that was
// refused as not accepted has not.
func step(state, input, output any) []any {
	before, o, out := state.(row), input.(operation), output.(outcome)
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

// history is the record of one play.
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
		end = math.MaxInt64 // a late transaction may still come about
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: o, Output: out, Call: call, Return: end})
	return out
}

// faults fails some of the store's calls, as a seed draws them.
func faults(random *rand.Rand) func(call string) error {
	var mu sync.Mutex
	return func(string) error {
		mu.Lock()
		defer mu.Unlock()
		switch draw := random.Float64(); {
		case draw < faultShare/2:
			return wharfrecords.ErrUnavailable
		case draw < faultShare:
			return wharfrecords.ErrUnknown
		}
		return nil
	}
}

// play has a host do random things to the job, one after another.
func (h *history) play(client int, book *Store, random *rand.Rand) {
	name := fmt.Sprint("host-", client)
	kinds := []string{"submit", "list", "list", "list", "adopt", "fetch", "fetch", "end"}
	for range historySteps {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		kind := kinds[random.IntN(len(kinds))]
		if kind == "end" && random.IntN(4) > 0 {
			kind = "list"
		}
		seen, known := book.Cached("org", "job")
		if !known && (kind == "list" || kind == "adopt") {
			kind = "fetch"
		}
		o := operation{kind: kind, host: name, owner: seen.Owner, item: random.IntN(historyItems)}
		h.record(client, o, func() outcome { return perform(book, o, seen) })
	}
}

func perform(book *Store, o operation, seen Job) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	switch o.kind {
	case "submit":
		return outcome{err: book.Submit(ctx, submission("job", historyItems))}
	case "end":
		return outcome{err: book.End(ctx, "org", "job")}
	case "adopt":
		_, err := book.Adopt(ctx, seen)
		return outcome{err: err}
	case "list":
		_, err := book.AppendResults(ctx, seen, []wharftask.Result{{ItemID: fmt.Sprint("item-", o.item), Completed: true, Output: "text"}})
		return outcome{err: err}
	}
	job, err := book.Fetch(ctx, "org", "job")
	if err != nil {
		return outcome{err: err}
	}
	return outcome{found: rowOf(job)}
}

// playAll has all hosts use the job at once, as a seed draws it.
func playAll(seed uint64) *history {
	store := wharfmemorystore.New()
	store.SetFault(faults(rand.New(rand.NewPCG(seed, 0))))
	var h history
	var hosts sync.WaitGroup
	for client := range historyHosts {
		book := newBook(store, fmt.Sprint("host-", client))
		hosts.Go(func() { h.play(client, book, rand.New(rand.NewPCG(seed, uint64(client+1)))) })
	}
	hosts.Wait()
	return &h
}

// log writes the operations in the order in which they began.
func (h *history) log(t *testing.T) {
	t.Helper()
	slices.SortFunc(h.operations, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for _, o := range h.operations {
		t.Logf("%d to %d: %+v %+v", o.Call, o.Return, o.Input, o.Output)
	}
}

// TestHistoriesOfOneJobAreLinearizable has hosts submit, adopt, list, end and read one job at once while the store fails, and
// checks that what they were told fits some order of what they did.
func TestHistoriesOfOneJobAreLinearizable(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{row{}} },
		Step:  step,
		Equal: func(a, b any) bool { return a == b },
	}
	answered := map[string]int{}
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			h := playAll(seed)
			for _, o := range h.operations {
				if o.Output.(outcome).err == nil {
					answered[o.Input.(operation).kind]++
				}
			}
			if !porcupine.CheckOperations(model.ToModel(), h.operations) {
				h.log(t)
				t.Fatalf("seed %d fits no order", seed)
			}
		})
	}
	for _, kind := range []string{"submit", "adopt", "list", "end", "fetch"} {
		assert.Assert(t, answered[kind] >= historySeeds/2, "%s came about only %d times: %v", kind, answered[kind], answered)
	}
}

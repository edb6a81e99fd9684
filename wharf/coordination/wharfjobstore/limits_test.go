package wharfjobstore

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharftask"
)

// limitedStore rejects what is larger than known platforms take.
type limitedStore struct {
	wharfrecords.Store
}

const maxObject = 100_000

func (s limitedStore) Commit(ctx context.Context, t wharfrecords.Transaction) (wharfrecords.Page, error) {
	size := 0
	for _, row := range t.Puts {
		size += len(row.Key) + len(row.Value)*4/3
	}
	if len(t.Conditions)+len(t.Puts)+len(t.Deletes) > 100 || size > 1_000_000 {
		return wharfrecords.Page{}, wharfrecords.ErrRejected
	}
	return s.Store.Commit(ctx, t)
}

func (s limitedStore) PutObject(ctx context.Context, name string, data []byte) error {
	if len(data) > maxObject {
		return wharfrecords.ErrRejected
	}
	return s.Store.PutObject(ctx, name, data)
}

// TestWritesKeepToTheLimitsOfTheStore guards against results and progress that together are larger than one transaction, and
// against one output that can't be stored and holds up all others.
func TestWritesKeepToTheLimitsOfTheStore(t *testing.T) {
	runWithStore(t, func(ctx context.Context, memory *wharfmemorystore.Store) {
		const count, overlong = 100, 77
		s := newStore(limitedStore{memory}, "a")
		submitted := submission("job", count+100)
		submitted.MaxWaitingTokens = 0
		assert.NilError(t, s.Submit(ctx, submitted))
		job, err := s.Fetch(ctx, "org", "job")
		assert.NilError(t, err)
		var list []wharftask.Result
		for i := range count {
			r := wharftask.Result{ItemID: fmt.Sprintf("item-%d", i), Completed: true, Output: strings.Repeat("x", maxInlineBytes)}
			if i == overlong {
				r.Output = strings.Repeat("x", maxObject+1)
			}
			list = append(list, r)
		}
		job, err = s.AppendResults(ctx, job, list)
		assert.NilError(t, err)
		assert.Equal(t, len(job.ResultOrder), count)
		page, err := s.Results(ctx, job, overlong, 1)
		assert.NilError(t, err)
		assert.DeepEqual(t, page.Results, []wharftask.Result{{ItemID: "item-77", Reason: "its output can't be stored"}})
		var progress []wharftask.Progress
		for i := range 100 {
			progress = append(progress, wharftask.Progress{Item: count + i, Text: "text", Events: 1, LastEvent: 1})
		}
		assert.NilError(t, s.Release(ctx, job, progress))
		released, err := s.Fetch(ctx, "org", "job")
		assert.NilError(t, err)
		assert.Equal(t, released.Owner, "")
		stored, err := s.Progress(ctx, &released)
		assert.NilError(t, err)
		assert.Equal(t, len(stored), len(progress))
	})
}

// TestJobsHaveObjectsOfTheirOwn guards against jobs of two organisations whose objects have one name, so that one organisation
// gets the items or outputs of the other, or loses its own with the other's job (review/3).
func TestJobsHaveObjectsOfTheirOwn(t *testing.T) {
	runWithStore(t, func(ctx context.Context, memory *wharfmemorystore.Store) {
		accepting, reading := newStore(memory, "a"), newStore(memory, "b")
		names := [][2]string{{"tema-nightly", "2026"}, {"tema", "nightly-2026"}, {"tema", "2026"}, {"tema-nightly", "nightly-2026"}}
		var jobs []Job
		for i, name := range names {
			s := Submission{Organisation: name[0], ID: name[1], Route: "r", Host: "h", Items: items(1, 100)}
			s.Items[0].Body = []byte{byte(i)}
			assert.NilError(t, accepting.Submit(ctx, s))
			job, err := accepting.Fetch(ctx, name[0], name[1])
			assert.NilError(t, err)
			output := strings.Repeat("x", maxInlineBytes+1) // the same for all
			job, err = accepting.AppendResults(ctx, job, []wharftask.Result{{ItemID: "item-0", Completed: true, Output: output}})
			assert.NilError(t, err)
			jobs = append(jobs, job)
		}
		for i, job := range jobs {
			stored, err := reading.Items(ctx, &job)
			assert.NilError(t, err)
			assert.DeepEqual(t, stored[0].Body, []byte{byte(i)})
			page, err := reading.Results(ctx, job, 0, 1)
			assert.NilError(t, err)
			assert.Equal(t, len(page.Results[0].Output), maxInlineBytes+1)
			assert.NilError(t, reading.Remove(ctx, job))
		}
	})
}

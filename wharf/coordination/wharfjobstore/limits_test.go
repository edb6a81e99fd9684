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

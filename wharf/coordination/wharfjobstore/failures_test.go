package wharfjobstore

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
)

// TestFailuresAreStoredWithTheJob guards against failures that another host does not see, that go down again or that a host stores
// which no longer owns the job.
func TestFailuresAreStoredWithTheJob(t *testing.T) {
	runWithStore(t, func(ctx context.Context, store *wharfmemorystore.Store) {
		a, b := newStore(store, "a"), newStore(store, "b")
		assert.NilError(t, a.Submit(ctx, submission("job", 3)))
		first, err := a.Fetch(ctx, "org", "job")
		assert.NilError(t, err)
		_, err = a.RecordFailures(ctx, first, map[int]int{1: 2})
		assert.NilError(t, err)
		assert.Equal(t, first.FailuresOf(1), 0, "an older version stays as it is")
		_, err = a.AppendResults(ctx, first, results(0))
		assert.NilError(t, err)
		_, err = a.RecordFailures(ctx, first, map[int]int{1: 1, 2: 1000})
		assert.NilError(t, err)
		job, err := b.Fetch(ctx, "org", "job")
		assert.NilError(t, err)
		for item, failures := range []int{0, 2, 255} {
			assert.Equal(t, job.FailuresOf(item), failures, item)
		}
		assert.Equal(t, len(job.ResultOrder), 1)
		adopted, err := b.Adopt(ctx, job)
		assert.NilError(t, err)
		assert.Equal(t, adopted.FailuresOf(1), 2)
		_, err = a.RecordFailures(ctx, job, map[int]int{1: 3})
		assert.Assert(t, errors.Is(err, ErrOwnershipLost), "%v", err)
	})
}

package wharfjobstore

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/state/wharfmemory"
)

// TestItemsKeepToTheirMemory guards against accepted and adopted jobs whose items fill the memory, and against memory that is
// not given back when jobs have ended.
func TestItemsKeepToTheirMemory(t *testing.T) {
	runWithStore(t, func(ctx context.Context, store *wharfmemorystore.Store) {
		const size = 4 << 20
		memory := wharfmemory.New(size, 0)
		s := New(Options{Records: store, Host: "a", Incarnation: 1, Memory: memory})
		large := func(id string) Submission {
			sub := submission(id, 1)
			sub.MaxWaitingTokens = 0
			sub.Items[0].Body = bytes.Repeat([]byte("x"), size*2/5)
			return sub
		}
		assert.NilError(t, s.Submit(ctx, large("first")))
		assert.NilError(t, s.Submit(ctx, large("second")))
		held := memory.Held()
		assert.Assert(t, held > size*4/5 && held <= size)
		assert.Assert(t, errors.Is(s.Submit(ctx, large("third")), wharfmemory.ErrExhausted))
		_, err := s.Fetch(ctx, "org", "third")
		assert.Assert(t, errors.Is(err, ErrNotFound), "a refused job does not run: %v", err)
		assert.NilError(t, s.Submit(ctx, large("first")), "a job that was accepted before needs no memory")
		assert.Equal(t, memory.Held(), held)

		restarted := New(Options{Records: store, Host: "a", Incarnation: 1, Memory: memory})
		job, err := restarted.Fetch(ctx, "org", "first")
		assert.NilError(t, err)
		_, err = restarted.Items(ctx, &job)
		assert.Assert(t, errors.Is(err, wharfmemory.ErrExhausted), "%v", err)
		assert.NilError(t, s.End(ctx, "org", "first"))
		assert.NilError(t, s.End(ctx, "org", "second"))
		assert.Equal(t, memory.Held(), int64(0))
		assert.NilError(t, s.Submit(ctx, large("third")))
	})
}

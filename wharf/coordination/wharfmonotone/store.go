package wharfmonotone

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

// Store passes calls on and turns answers into ErrUnavailable that are older than what was known when they were asked for.
type Store struct {
	wharfrecords.Store
	newest       atomic.Uint64
	StaleReplies atomic.Int64 // answers that were too old
}

// New wraps a store.
func New(store wharfrecords.Store) *Store {
	return &Store{Store: store}
}

// Read returns the rows of a range as of one moment.
func (s *Store) Read(ctx context.Context, r wharfrecords.Range) (wharfrecords.Page, error) {
	floor := s.newest.Load()
	page, err := s.Store.Read(ctx, r)
	return s.check(page, err, floor)
}

// Changes waits for rows of a table that have changed after a version.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (wharfrecords.Page, error) {
	floor := s.newest.Load()
	page, err := s.Store.Changes(ctx, table, after, wait)
	return s.check(page, err, floor)
}

// Commit applies a transaction.
func (s *Store) Commit(ctx context.Context, t wharfrecords.Transaction) (wharfrecords.Page, error) {
	page, err := s.Store.Commit(ctx, t)
	if err == nil {
		s.raise(page.Version)
	}
	return page, err
}

func (s *Store) check(page wharfrecords.Page, err error, floor uint64) (wharfrecords.Page, error) {
	if err != nil {
		return page, err
	}
	if page.Version < floor {
		s.StaleReplies.Add(1)
		return wharfrecords.Page{}, fmt.Errorf("%w: its answer is of version %d, %d is known", wharfrecords.ErrUnavailable, page.Version, floor)
	}
	s.raise(page.Version)
	return page, nil
}

func (s *Store) raise(version uint64) {
	for {
		newest := s.newest.Load()
		if version <= newest || s.newest.CompareAndSwap(newest, version) {
			return
		}
	}
}

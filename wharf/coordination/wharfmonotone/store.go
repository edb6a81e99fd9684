package wharfmonotone

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

// Store passes calls to the wrapped store. It returns ErrUnavailable for answers older than the newest version known
// when the call was made.
type Store struct {
	wharfrecords.Store
	highestVersion atomic.Uint64
	StaleReplies   atomic.Int64 // number of rejected answers
}

// New wraps a store.
func New(store wharfrecords.Store) *Store {
	return &Store{Store: store}
}

// Read returns a consistent page of the rows in a range.
func (s *Store) Read(ctx context.Context, r wharfrecords.Range) (wharfrecords.Page, error) {
	minVersion := s.highestVersion.Load()
	page, err := s.Store.Read(ctx, r)
	return s.rejectStale(page, err, minVersion)
}

// Changes waits for rows of a table that changed after a version.
func (s *Store) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (wharfrecords.Page, error) {
	minVersion := s.highestVersion.Load()
	page, err := s.Store.Changes(ctx, table, after, wait)
	return s.rejectStale(page, err, minVersion)
}

// Commit applies a transaction.
func (s *Store) Commit(ctx context.Context, t wharfrecords.Transaction) (wharfrecords.Page, error) {
	page, err := s.Store.Commit(ctx, t)
	if err == nil {
		s.advance(page.Version)
	}
	return page, err
}

func (s *Store) rejectStale(page wharfrecords.Page, err error, minVersion uint64) (wharfrecords.Page, error) {
	if err != nil {
		return page, err
	}
	if page.Version < minVersion {
		s.StaleReplies.Add(1)
		return wharfrecords.Page{}, fmt.Errorf("%w: stale answer of version %d, expected at least %d",
			wharfrecords.ErrUnavailable, page.Version, minVersion)
	}
	s.advance(page.Version)
	return page, nil
}

func (s *Store) advance(version uint64) {
	for {
		newest := s.highestVersion.Load()
		if version <= newest || s.highestVersion.CompareAndSwap(newest, version) {
			return
		}
	}
}

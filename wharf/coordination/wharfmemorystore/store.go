package wharfmemorystore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

// maxPageRows is the maximum number of rows of a page.
const maxPageRows = 500

// Store is a linearizable in-memory store. It is safe for concurrent use.
type Store struct {
	mu             sync.Mutex
	rows           map[rowKey]wharfrecords.Row
	changes        []wharfrecords.Row // in version order
	droppedVersion uint64             // changes up to this version have been dropped
	version        uint64
	objects        map[string][]byte
	started        time.Time
	changed        chan struct{}
	// Fault, if not nil, is called before each operation with the operation's name. If it returns an error, the
	// operation returns that error without effect, except that a write with ErrUnknown takes effect.
	Fault func(call string) error
}

type rowKey struct {
	table, part, key string
}

// New returns an empty store.
func New() *Store {
	return &Store{
		rows:    map[rowKey]wharfrecords.Row{},
		objects: map[string][]byte{},
		started: time.Now(),
		changed: make(chan struct{}),
	}
}

// SetFault replaces Fault. Unlike an assignment it may be called concurrently with operations.
func (s *Store) SetFault(fault func(call string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = fault
}

func (s *Store) injectedFault(call string) error {
	s.mu.Lock()
	fault := s.Fault
	s.mu.Unlock()
	if fault == nil {
		return nil
	}
	return fault(call)
}

// emptyPage returns a page without rows, with the current version and time. The caller holds s.mu.
func (s *Store) emptyPage() wharfrecords.Page {
	return wharfrecords.Page{Version: s.version, Now: time.Since(s.started)}
}

// Read returns a consistent snapshot of the rows of a range, in key order.
func (s *Store) Read(_ context.Context, r wharfrecords.Range) (wharfrecords.Page, error) {
	if err := s.injectedFault("read"); err != nil {
		return wharfrecords.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := maxPageRows
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	page := s.emptyPage()
	for key, row := range s.rows {
		if key.table == r.Table && key.part == r.Part && key.key >= r.From && (r.To == "" || key.key < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b wharfrecords.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	return page, nil
}

// Commit applies a transaction, subject to injected faults.
func (s *Store) Commit(_ context.Context, t wharfrecords.Transaction) (wharfrecords.Page, error) {
	err := s.injectedFault("commit")
	if err != nil && !errors.Is(err, wharfrecords.ErrUnknown) {
		return wharfrecords.Page{}, err
	}
	page, conflict := s.Apply(t)
	if err != nil {
		return wharfrecords.Page{}, err
	}
	return page, conflict
}

// Apply applies a transaction without injected faults.
func (s *Store) Apply(t wharfrecords.Transaction) (wharfrecords.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.rows[rowKey{c.Table, t.Part, c.Key}].Version != c.Version {
			return s.emptyPage(), wharfrecords.ErrConflict
		}
	}
	s.version++
	for _, row := range t.Puts {
		row.Part, row.Version, row.Deleted = t.Part, s.version, false
		s.rows[rowKey{row.Table, t.Part, row.Key}] = row
		s.changes = append(s.changes, row)
	}
	for _, row := range t.Deletes {
		key := rowKey{row.Table, t.Part, row.Key}
		if _, exists := s.rows[key]; exists {
			delete(s.rows, key)
			s.changes = append(s.changes,
				wharfrecords.Row{Table: row.Table, Part: t.Part, Key: row.Key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.emptyPage(), nil
}

// Changes returns the rows of a table that have changed after a version, and waits up to wait for the first.
func (s *Store) Changes(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (wharfrecords.Page, error) {
	if err := s.injectedFault("changes"); err != nil {
		return wharfrecords.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		page, dropped, changed := s.emptyPage(), s.droppedVersion, s.changed
		for _, row := range s.changes {
			if row.Table == table && row.Version > after {
				page.Rows = append(page.Rows, row)
			}
		}
		s.mu.Unlock()
		if after < dropped {
			return wharfrecords.Page{}, wharfrecords.ErrHistoryDropped
		}
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return wharfrecords.Page{}, errors.Join(wharfrecords.ErrUnavailable, ctx.Err())
		}
	}
}

// DropHistory drops all recorded changes, so that Changes from an older version returns ErrHistoryDropped.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedVersion = s.version
	s.changes = nil
}

// Parts returns the names of the parts of a table, sorted.
func (s *Store) Parts(_ context.Context, table string) ([]string, error) {
	if err := s.injectedFault("parts"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for key := range s.rows {
		if key.table == table && !slices.Contains(parts, key.part) {
			parts = append(parts, key.part)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// PutObject stores an object under a new name, or returns ErrExists if the name is taken.
func (s *Store) PutObject(_ context.Context, name string, data []byte) error {
	err := s.injectedFault("put-object")
	if err != nil && !errors.Is(err, wharfrecords.ErrUnknown) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[name]; exists && err == nil {
		return wharfrecords.ErrExists
	}
	s.objects[name] = slices.Clone(data)
	return err
}

// GetObject returns an object, or ErrNotFound.
func (s *Store) GetObject(_ context.Context, name string) ([]byte, error) {
	if err := s.injectedFault("get-object"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, exists := s.objects[name]
	if !exists {
		return nil, wharfrecords.ErrNotFound
	}
	return data, nil
}

// DeleteObject deletes an object if it exists.
func (s *Store) DeleteObject(_ context.Context, name string) error {
	if err := s.injectedFault("drop-object"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

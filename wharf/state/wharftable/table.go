package wharftable

import (
	"slices"
	"strings"
	"sync"

	"wagtailwharf.example/wharf/state/wharfrow"
)

// Table is an in-memory table with atomic conditional commits. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	rows    map[string]wharfrow.Row
	keys    []string
	version uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]wharfrow.Row{}}
}

// Get returns the row of a key, with version 0 if it does not exist.
func (t *Table) Get(key string) wharfrow.Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[key]
	if !ok {
		return wharfrow.Row{Key: key}
	}
	return row
}

// Scan returns at most limit rows, in order of their keys, whose keys start with prefix and sort after the key after.
func (t *Table) Scan(prefix, after string, limit int) []wharfrow.Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	start := max(prefix, after)
	i, _ := slices.BinarySearch(t.keys, start)
	var rows []wharfrow.Row
	for ; i < len(t.keys) && len(rows) < limit; i++ {
		key := t.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key <= after {
			continue
		}
		rows = append(rows, t.rows[key])
	}
	return rows
}

// Commit applies all writes if all conditions hold. Otherwise it returns wharfrow.ErrConflict.
func (t *Table) Commit(commit wharfrow.Commit) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range commit.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return wharfrow.ErrConflict
		}
	}
	t.version++
	for _, w := range commit.Writes {
		t.apply(commit.ID, w)
	}
	return nil
}

func (t *Table) apply(id string, w wharfrow.Write) {
	_, found := t.rows[w.Key]
	if w.Delete {
		t.remove(w.Key, found)
		return
	}
	t.rows[w.Key] = wharfrow.Row{Key: w.Key, Value: w.Value, Version: t.version, Writer: id}
	if !found {
		i, _ := slices.BinarySearch(t.keys, w.Key)
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
}

func (t *Table) remove(key string, found bool) {
	if !found {
		return
	}
	delete(t.rows, key)
	i, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, i, i+1)
}

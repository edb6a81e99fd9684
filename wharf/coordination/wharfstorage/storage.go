package wharfstorage

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/state/wharfrow"
)

// PageRows is the maximum number of rows that one scan returns.
const PageRows = 1000

// Storage is the platform's transactional table and object store.
type Storage interface {
	// Get returns the row with the given key, or a row with version 0 if it does not exist.
	Get(ctx context.Context, key string) (wharfrow.Row, error)
	// Scan returns up to limit rows whose keys have the prefix and sort after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]wharfrow.Row, error)
	// Commit applies a commit atomically. After wharfrow.ErrConflict or wharfrow.ErrUnavailable it had no effect.
	Commit(ctx context.Context, commit wharfrow.Commit) error
	// PutObject stores an immutable object.
	PutObject(ctx context.Context, key string, data []byte) error
	// GetObject returns an object, or wharfrow.ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Read returns the decoded JSON value of a row and its version, which is 0 if the row does not exist.
func Read[T any](ctx context.Context, storage Storage, key string) (value T, version uint64, err error) {
	row, err := storage.Get(ctx, key)
	if err != nil {
		return value, 0, trace.Wrap(err)
	}
	if row.Version == 0 {
		return value, 0, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, 0, trace.Wrap(err, "row %q", key)
	}
	return value, row.Version, nil
}

// ScanAll calls visit for every row whose key has the prefix, in key order. It scans page by page and stops at the
// first error.
func ScanAll(ctx context.Context, storage Storage, prefix string, visit func(wharfrow.Row) error) error {
	after := ""
	for {
		rows, err := storage.Scan(ctx, prefix, after, PageRows)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return trace.Wrap(err)
			}
		}
		if len(rows) < PageRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Put returns a write that stores a value as JSON. It panics if the value can't be encoded.
func Put(key string, value any) wharfrow.Write {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return wharfrow.Write{Key: key, Value: data}
}

// Delete returns a write that deletes a row.
func Delete(key string) wharfrow.Write {
	return wharfrow.Write{Key: key, Delete: true}
}

// At returns the condition that a row has a version; version 0 requires that the row does not exist.
func At(key string, version uint64) wharfrow.Condition {
	return wharfrow.Condition{Key: key, Version: version}
}

// Commit applies writes under conditions as one commit with a new random ID.
func Commit(ctx context.Context, storage Storage, conditions []wharfrow.Condition, writes ...wharfrow.Write) error {
	commit := wharfrow.Commit{ID: uuid.NewString(), Conditions: conditions, Writes: writes}
	return trace.Wrap(storage.Commit(ctx, commit))
}

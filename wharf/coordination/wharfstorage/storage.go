package wharfstorage

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/state/wharfrow"
)

// PageRows is the largest number of rows of one scan.
const PageRows = 1000

// Storage is the platform's transactional table and object store.
type Storage interface {
	// Get returns the row under key, with version 0 if absent.
	Get(ctx context.Context, key string) (wharfrow.Row, error)
	// Scan returns up to limit rows under prefix that sort after the key after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]wharfrow.Row, error)
	// Commit applies a commit; wharfrow.ErrConflict and ErrUnavailable say that it had no effect.
	Commit(ctx context.Context, commit wharfrow.Commit) error
	// PutObject stores an object that is never changed afterwards.
	PutObject(ctx context.Context, key string, data []byte) error
	// GetObject returns an object, or wharfrow.ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Read returns the decoded JSON value of a row and its version, which is 0 if the row is absent.
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

// ScanAll calls visit for every row under prefix, page by page, in key order.
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

// Put returns the write of a value as JSON.
func Put(key string, value any) wharfrow.Write {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return wharfrow.Write{Key: key, Value: data}
}

// Delete returns the write that removes a row.
func Delete(key string) wharfrow.Write {
	return wharfrow.Write{Key: key, Delete: true}
}

// At returns the condition that a row has a version, 0 for absent.
func At(key string, version uint64) wharfrow.Condition {
	return wharfrow.Condition{Key: key, Version: version}
}

// Commit applies writes under conditions as one commit with a fresh id.
func Commit(ctx context.Context, storage Storage, conditions []wharfrow.Condition, writes ...wharfrow.Write) error {
	commit := wharfrow.Commit{ID: uuid.NewString(), Conditions: conditions, Writes: writes}
	return trace.Wrap(storage.Commit(ctx, commit))
}

package wharfrecords

import (
	"context"
	"errors"
	"time"
)

// Sentinel errors of a store.
var (
	// ErrConflict is returned when a condition of a transaction does not hold; the transaction had no effect.
	ErrConflict = errors.New("row version conflict")
	// ErrUnavailable is returned when the call had no effect and may be retried.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown is returned when a write may have been applied, or may still be applied.
	ErrUnknown = errors.New("outcome unknown: the store's reply was lost")
	// ErrHistoryDropped is returned when the store no longer has the changes after the requested version.
	ErrHistoryDropped = errors.New("the store has dropped the requested changes")
	// ErrNotFound is returned when an object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrRejected is returned when the store refuses a call for what it contains, such as too many rows; it had no effect,
	// and the same call never has.
	ErrRejected = errors.New("the store rejects the call")
	// ErrExists is returned when an object with that name exists already.
	ErrExists = errors.New("object already exists")
)

// Row is a row of a table. Version 0 means that the row does not exist.
type Row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version uint64
	Deleted bool // set only in results of Changes
}

// Page is a page of rows.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64        // latest version of the store
	Now     time.Duration // monotonic clock of the store
}

// Range selects rows of one part of a table by key.
type Range struct {
	Table string
	Part  string
	From  string // first key of the range; "" for no lower bound
	To    string // first key after the range; "" for no upper bound
	Limit int    // maximum number of rows; 0 for the store's limit
}

// Condition requires a version of a row in the transaction's part; version 0 requires that the row does not exist.
type Condition struct {
	Table   string
	Key     string
	Version uint64
}

// Transaction changes rows of one part atomically if all conditions hold, and otherwise has no effect.
type Transaction struct {
	Part       string
	Conditions []Condition
	Puts       []Row
	Deletes    []Row
}

// Store is a linearizable store of rows and objects.
type Store interface {
	// Read returns a consistent snapshot of the rows of a range, in key order.
	Read(ctx context.Context, r Range) (Page, error)
	// Commit applies a transaction and returns a page with its version. Its errors are ErrConflict, ErrUnavailable,
	// ErrUnknown and ErrRejected.
	Commit(ctx context.Context, t Transaction) (Page, error)
	// Changes returns the rows of a table that have changed after a version, and waits up to wait for the first. After
	// ErrHistoryDropped the caller must read the whole table.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// Parts returns the names of the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// PutObject stores an object under a new name, or returns ErrExists if the name is taken.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject deletes an object. It is no error if the object does not exist.
	DeleteObject(ctx context.Context, name string) error
}

// ReadAll reads all rows of a range page by page. The version and time of the result are those of the first page.
func ReadAll(ctx context.Context, store Store, r Range) (Page, error) {
	var all Page
	for {
		page, err := store.Read(ctx, r)
		if err != nil {
			return all, err
		}
		if all.Version == 0 {
			all.Version, all.Now = page.Version, page.Now
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

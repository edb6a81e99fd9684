package wharfrecords

import (
	"context"
	"errors"
	"time"
)

// Sentinel errors of a store.
var (
	// ErrConflict says that a condition of a transaction does not hold, so that nothing was done.
	ErrConflict = errors.New("a row has another version")
	// ErrUnavailable says that the store has done nothing and may do it later.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrUnknown says that a write may have been done, or may still be done.
	ErrUnknown = errors.New("the store's reply was lost")
	// ErrHistoryDropped says that the store no longer knows the changes after the version that was asked for.
	ErrHistoryDropped = errors.New("the store has dropped the changes asked for")
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrExists says that an object of that name is there already.
	ErrExists = errors.New("the object is there already")
)

// Row is a row of a table; Version 0 stands for a row that does not exist.
type Row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version uint64
	Deleted bool // only in changes
}

// Page is an answer about rows.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64        // newest version of the store
	Now     time.Duration // steady clock of the store
}

// Range selects rows of one part of a table, in key order.
type Range struct {
	Table string
	Part  string
	From  string // first key, "" for the first of all
	To    string // first key after the range, "" for none
	Limit int    // 0 for the store's own
}

// Condition is the version that a row of the transaction's part must have.
type Condition struct {
	Table   string
	Key     string
	Version uint64
}

// Transaction changes rows of one part if all conditions hold, and does nothing otherwise.
type Transaction struct {
	Part       string
	Conditions []Condition
	Puts       []Row
	Deletes    []Row
}

// Store is a linearizable store.
type Store interface {
	// Read returns the rows of a range as of one moment.
	Read(ctx context.Context, r Range) (Page, error)
	// Commit applies a transaction and returns its version; errors are ErrConflict, ErrUnavailable and ErrUnknown.
	Commit(ctx context.Context, t Transaction) (Page, error)
	// Changes waits up to wait for rows of a table that have changed after a version; ErrHistory asks for a full read.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// Parts returns the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// PutObject stores an object under a new name; ErrExists says that the name is taken.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject removes an object if it is there.
	DeleteObject(ctx context.Context, name string) error
}

// ReadAll returns all rows of a part of a table, page by page.
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

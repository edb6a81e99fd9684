package wharfrow

import "errors"

// Errors of the platform's table and object store.
var (
	// ErrConflict means that a condition of a commit did not hold and nothing was written.
	ErrConflict = errors.New("commit condition does not hold")
	// ErrUnavailable means that the platform refused the call, which had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown means that no reply arrived, so a write may have taken effect.
	ErrUnknown = errors.New("platform reply lost")
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("object not found")
)

// Row is one row of the platform's table. Version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Writer  string `json:"writer"` // ID of the commit that wrote this version
}

// Condition requires that a row has a version when the commit is applied.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a key, or deletes the key.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Commit is an atomic, conditional change of several rows with a unique ID.
type Commit struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

package wharftask

import (
	"math"
	"time"

	"wagtailwharf.example/wharf/state/wharfcall"
)

// Result is the outcome of one item of a batch job.
type Result struct {
	ItemID    string `cbor:"1,keyasint"`
	Completed bool   `cbor:"2,keyasint"` // false if the item was given up
	Output    string `cbor:"3,keyasint"` // data of all events, one line each
	Reason    string `cbor:"4,keyasint"` // why the item was given up
}

// Results is a page of a job's results.
type Results struct {
	Total   int // number of items of the job
	Next    int // position after the last result of the page
	Results []Result
}

// Record is the row of a batch job. All changes of the job are conditional on its version in the store.
type Record struct {
	ID            string        `cbor:"1,keyasint"`
	Organisation  string        `cbor:"2,keyasint"`
	Route         string        `cbor:"3,keyasint"`
	Host          string        `cbor:"4,keyasint"`  // host name to which the job was submitted
	Object        string        `cbor:"5,keyasint"`  // key of the object that holds the items
	ItemTokens    []int64       `cbor:"6,keyasint"`  // token count of each item
	ResultOrder   []uint8       `cbor:"7,keyasint"`  // item indices by position of their results
	AcceptedAt    time.Duration `cbor:"8,keyasint"`  // when the job was accepted, by the store's clock
	Cancelled     bool          `cbor:"9,keyasint"`  // cancelled by the caller
	Owner         string        `cbor:"10,keyasint"` // host that runs the items, "" for none
	Incarnation   uint64        `cbor:"11,keyasint"` // incarnation of the owner
	TransactionID string        `cbor:"12,keyasint"` // ID of the transaction that wrote this version
	HandedOver    bool          `cbor:"13,keyasint"` // a previous owner stored its items' progress when it stopped
	// Region is that of the host that accepted the job, "" if it is not known or the row was written by an older build.
	Region string `cbor:"14,keyasint,omitempty"`
	// PathPrefix is that of the route on which the job was accepted, and ConfigurationVersion the version that had the route.
	// Rows of older builds have neither.
	PathPrefix           string `cbor:"15,keyasint,omitempty"`
	ConfigurationVersion uint64 `cbor:"16,keyasint,omitempty"`
	// Failures is the number of failed attempts at each item, empty as long as none has failed.
	Failures []uint8 `cbor:"17,keyasint,omitempty"`
}

// Progress is the stored progress of an unfinished item whose owner stops.
type Progress struct {
	Item        int    `cbor:"1,keyasint"`
	Text        string `cbor:"2,keyasint"` // data of the events so far, one line each
	LastEvent   int    `cbor:"3,keyasint"`
	Events      int    `cbor:"4,keyasint"`
	Failures    int    `cbor:"5,keyasint"`
	Disconnects int    `cbor:"6,keyasint"`
	// Origin is where the text comes from. It is empty in rows of older builds.
	Origin wharfcall.Origin `cbor:"7,keyasint"`
}

// Pending reports whether the job is not cancelled and some items have no result.
func (r *Record) Pending() bool {
	return !r.Cancelled && len(r.ResultOrder) < len(r.ItemTokens)
}

// WaitingTokens returns the token count of all items without a result, or 0 if the job is cancelled.
func (r *Record) WaitingTokens() int64 {
	if r.Cancelled {
		return 0
	}
	total := int64(0)
	for _, tokens := range r.ItemTokens {
		total += tokens
	}
	for _, item := range r.ResultOrder {
		total -= r.ItemTokens[item]
	}
	return total
}

// FailuresOf returns the number of failed attempts at an item.
func (r *Record) FailuresOf(item int) int {
	if item >= len(r.Failures) {
		return 0
	}
	return int(r.Failures[item])
}

// RecordFailures raises the number of failed attempts at an item. It leaves the slice of other copies of the record as it is.
func (r *Record) RecordFailures(item, failures int) {
	if failures <= r.FailuresOf(item) {
		return
	}
	counts := make([]uint8, len(r.ItemTokens))
	copy(counts, r.Failures)
	counts[item] = uint8(min(failures, math.MaxUint8))
	r.Failures = counts
}

// HasResult reports whether an item has a result.
func (r *Record) HasResult(item int) bool {
	for _, listed := range r.ResultOrder {
		if int(listed) == item {
			return true
		}
	}
	return false
}

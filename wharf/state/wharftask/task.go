package wharftask

import "time"

// Result is the outcome of one item of a batch job.
type Result struct {
	ItemID    string `cbor:"1,keyasint"`
	Completed bool   `cbor:"2,keyasint"` // else it was given up
	Output    string `cbor:"3,keyasint"` // the data of all events, a line each
	Reason    string `cbor:"4,keyasint"` // why it was given up
}

// Results is a part of a job's results.
type Results struct {
	Total   int // items of the job
	Next    int // position after the last result
	Results []Result
}

// Record is the row of a batch job; its version in the store fences all changes of the job.
type Record struct {
	ID            string        `cbor:"1,keyasint"`
	Organisation  string        `cbor:"2,keyasint"`
	Route         string        `cbor:"3,keyasint"`
	Host          string        `cbor:"4,keyasint"`  // name under which the job was submitted
	Object        string        `cbor:"5,keyasint"`  // holds the items
	ItemTokens    []int64       `cbor:"6,keyasint"`  // by item
	ResultOrder   []uint8       `cbor:"7,keyasint"`  // items by position of their results
	AcceptedAt    time.Duration `cbor:"8,keyasint"`  // by the store's clock
	Cancelled     bool          `cbor:"9,keyasint"`  // by the caller
	Owner         string        `cbor:"10,keyasint"` // host whose process runs the items, "" for none
	Incarnation   uint64        `cbor:"11,keyasint"` // of the owner
	TransactionID string        `cbor:"12,keyasint"` // id of the transaction that wrote this version
	HandedOver    bool          `cbor:"13,keyasint"` // an owner that left has kept what its items had brought
}

// Progress is what an item has brought when its owner leaves.
type Progress struct {
	Item        int    `cbor:"1,keyasint"`
	Text        string `cbor:"2,keyasint"` // data of the events so far, a line each
	LastEvent   int    `cbor:"3,keyasint"`
	Events      int    `cbor:"4,keyasint"`
	Failures    int    `cbor:"5,keyasint"`
	Disconnects int    `cbor:"6,keyasint"`
}

// Pending reports whether some items are still to be done.
func (r *Record) Pending() bool {
	return !r.Cancelled && len(r.ResultOrder) < len(r.ItemTokens)
}

// WaitingTokens returns the tokens of the items that have no result.
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

// HasResult reports whether an item has a result.
func (r *Record) HasResult(item int) bool {
	for _, listed := range r.ResultOrder {
		if int(listed) == item {
			return true
		}
	}
	return false
}

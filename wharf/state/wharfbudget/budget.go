package wharfbudget

import "sync/atomic"

const (
	milli        = 1000
	retryCost    = 1 * milli
	largestStore = 10 * milli
)

// Budget allows retries as a share of successes (the retry budget of Finagle), safe for concurrent use.
type Budget struct {
	earned int64
	store  atomic.Int64
}

// New returns a budget that earns share retries for each success, holding at most ten.
func New(share float64) *Budget {
	b := &Budget{earned: int64(share * milli)}
	b.store.Store(largestStore)
	return b
}

// Succeed records a success.
func (b *Budget) Succeed() {
	for {
		old := b.store.Load()
		next := min(old+b.earned, largestStore)
		if next == old || b.store.CompareAndSwap(old, next) {
			return
		}
	}
}

// Retry reports whether a retry is allowed and takes it from the budget.
func (b *Budget) Retry() bool {
	for {
		old := b.store.Load()
		if old < retryCost {
			return false
		}
		if b.store.CompareAndSwap(old, old-retryCost) {
			return true
		}
	}
}

package wharfbudget

import "sync/atomic"

const (
	unitsPerRetry = 1000
	retryCost     = 1 * unitsPerRetry
	maxBalance    = 10 * unitsPerRetry
)

// Budget allows retries as a share of successes (the retry budget of Finagle), safe for concurrent use.
type Budget struct {
	credit  int64
	balance atomic.Int64
}

// New returns a budget that earns share retries for each success, holding at most ten.
func New(share float64) *Budget {
	b := &Budget{credit: int64(share * unitsPerRetry)}
	b.balance.Store(maxBalance)
	return b
}

// Succeed records a success.
func (b *Budget) Succeed() {
	for {
		old := b.balance.Load()
		next := min(old+b.credit, maxBalance)
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Retry reports whether a retry is allowed and takes it from the budget.
func (b *Budget) Retry() bool {
	for {
		old := b.balance.Load()
		if old < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(old, old-retryCost) {
			return true
		}
	}
}

package wharfbudget

import "sync/atomic"

const (
	unitsPerRetry = 1000 // the balance is kept in thousandths of a retry
	retryCost     = 1 * unitsPerRetry
	maxBalance    = 10 * unitsPerRetry
)

// Budget limits retries to a share of successes, like the retry budget of Finagle. It is safe for concurrent use.
type Budget struct {
	credit  int64
	balance atomic.Int64
}

// New returns a budget that holds at most ten retries and starts full. Each success adds the fraction share of a retry.
func New(share float64) *Budget {
	b := &Budget{credit: int64(share * unitsPerRetry)}
	b.balance.Store(maxBalance)
	return b
}

// Succeed records a success, which adds to the budget.
func (b *Budget) Succeed() {
	for {
		old := b.balance.Load()
		next := min(old+b.credit, maxBalance)
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Retry reports whether a retry is allowed, and if so deducts it from the budget.
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

// Package wharfmonotone wraps a store and rejects stale answers, so that a host never sees an older state than before.
package wharfmonotone

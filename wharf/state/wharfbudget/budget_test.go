package wharfbudget

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRetriesAreLimitedToShareOfSuccesses(t *testing.T) {
	b := New(0.1)
	retries := 0
	for range 100 {
		if b.Retry() {
			retries++
		}
	}
	assert.Equal(t, retries, 10, "the initial balance")
	for range 1000 {
		b.Succeed()
		if b.Retry() {
			retries++
		}
	}
	assert.Equal(t, retries, 110)
}

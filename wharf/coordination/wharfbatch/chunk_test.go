package wharfbatch

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfjob"
)

const twoLines = `{"custom_id":"fails"}` + "\n" + `{"custom_id":"works"}`

// load returns a chunk as its owner has it after reading a claim, with its items.
func load(t *testing.T, claim wharfjob.Claim) (*chunk, []*item) {
	t.Helper()
	c := newChunk(context.Background(), wharfjob.Open{}, claim, "key", 1)
	t.Cleanup(c.stop)
	items, err := c.items([]byte(twoLines))
	assert.NilError(t, err)
	c.remaining = len(items)
	return c, items
}

// TestFailedAttemptsOutliveTheOwnerOfAClaim guards against an item that gets all its attempts again from each owner of its claim.
func TestFailedAttemptsOutliveTheOwnerOfAClaim(t *testing.T) {
	runner := &Runner{}
	failure := errors.New("endpoint failed")
	claim := wharfjob.Claim{}
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		c, items := load(t, claim)
		assert.Equal(t, items[0].recordFailure(failure, Outcome{}), attempt == maxAttempts, attempt)
		if attempt == maxAttempts {
			assert.Equal(t, len(c.uncommitted), 1)
			assert.Equal(t, len(c.attempts), 0, "it has a result")
			break
		}
		assert.Assert(t, runner.needsCommit(c))
		stored, err := runner.storeResults(context.Background(), c)
		assert.NilError(t, err)
		row, err := json.Marshal(stored)
		assert.NilError(t, err)
		claim = wharfjob.Claim{}
		assert.NilError(t, json.Unmarshal(row, &claim))
		assert.DeepEqual(t, claim.Attempts, map[int]int{0: attempt})
		assert.Assert(t, !runner.needsCommit(c), "nothing has changed since")
	}
}

// TestAnsweredItemLeavesNoAttempts guards against a claim whose row grows with each item that failed once.
func TestAnsweredItemLeavesNoAttempts(t *testing.T) {
	c, items := load(t, wharfjob.Claim{Attempts: map[int]int{1: 2}})
	assert.Equal(t, items[1].attempts, 2)
	items[1].recordAnswer(Outcome{StatusCode: 200})
	assert.Equal(t, len(c.attempts), 0)
	assert.Equal(t, len(c.uncommitted), 1)
}

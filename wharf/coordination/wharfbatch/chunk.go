package wharfbatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfjob"
)

// chunk is a claimed part of a job. Runner.mu guards its items and results; a commit of the claim holds commitToken.
type chunk struct {
	ctx         context.Context
	stop        context.CancelFunc
	open        wharfjob.Open
	number      int
	claim       wharfjob.Claim
	key         string
	version     uint64
	commitToken chan struct{} // semaphore that is held during a commit
	remaining   int
	uncommitted []itemResult
	attempts    map[int]int // that failed, by index, of items without a result
}

type itemResult struct {
	index  int
	result wharfjob.Result
}

type item struct {
	chunk     *chunk
	index     int
	line      wharfjob.Line
	attempts  int // that failed, without those whose endpoint was lost
	losses    int // endpoints that were lost while they ran the item
	preempted bool
	progress  Progress
	notBefore time.Time
}

func newChunk(ctx context.Context, open wharfjob.Open, claim wharfjob.Claim, key string, version uint64) *chunk {
	c := &chunk{
		open: open, number: claim.Chunk, claim: claim, key: key, version: version, commitToken: make(chan struct{}, 1),
		attempts: map[int]int{},
	}
	maps.Copy(c.attempts, claim.Attempts)
	c.ctx, c.stop = context.WithCancel(ctx)
	c.commitToken <- struct{}{}
	return c
}

// items returns the items of the chunk that have no committed result yet.
func (c *chunk) items(data []byte) ([]*item, error) {
	done := map[int]bool{}
	for _, part := range c.claim.Parts {
		for _, index := range part.Items {
			done[index] = true
		}
	}
	var items []*item
	for index, text := range bytes.Split(data, []byte("\n")) {
		if done[index] {
			continue
		}
		it := &item{chunk: c, index: index, attempts: c.attempts[index]}
		if err := json.Unmarshal(text, &it.line); err != nil {
			return nil, trace.Wrap(err, "chunk %d line %d", c.number, index)
		}
		items = append(items, it)
	}
	return items, nil
}

func (it *item) task(endpoint wharfconfig.Endpoint) Task {
	return Task{
		Organisation: it.chunk.open.Organisation,
		Service:      it.chunk.open.Service,
		Endpoint:     endpoint,
		Line:         it.line,
		RequestID:    uuid.NewString(),
		Progress:     it.progress,
	}
}

// recordAnswer records the answer of an endpoint. An error status becomes an error line.
func (it *item) recordAnswer(outcome Outcome) {
	const minErrorStatus = 400
	result := wharfjob.Result{
		ID:       "batch_req_" + uuid.NewString(),
		CustomID: it.line.CustomID,
		Response: &wharfjob.ResultResponse{
			StatusCode: outcome.StatusCode, RequestID: uuid.NewString(), Body: outcome.Body,
		},
	}
	if outcome.StatusCode >= minErrorStatus {
		result.Error = &wharfjob.ResultError{Code: "request_failed", Message: "the model refused the request"}
	}
	it.chunk.finish(it.index, result)
}

// finish keeps an item's result until it is committed.
func (c *chunk) finish(index int, result wharfjob.Result) {
	delete(c.attempts, index)
	c.uncommitted = append(c.uncommitted, itemResult{index: index, result: result})
}

// recordFailure records a failed attempt and reports whether it was the last one, in which case the item becomes an
// error line. A preempted attempt is not counted and keeps its progress; one whose endpoint was lost counts for the pause
// until the next.
func (it *item) recordFailure(err error, outcome Outcome) bool {
	it.preempted = errors.Is(err, ErrPreempted)
	if it.preempted {
		it.progress = outcome.Progress
		return false
	}
	if errors.Is(err, ErrEndpointLost) {
		it.losses++
		return false
	}
	it.attempts++
	poison := errors.Is(err, ErrPoison)
	if it.attempts < maxAttempts && !poison {
		it.chunk.attempts[it.index] = it.attempts
		return false
	}
	code := "attempts_exhausted"
	if poison {
		code = "crashes_endpoints"
	}
	it.chunk.finish(it.index, wharfjob.Result{
		ID:       "batch_req_" + uuid.NewString(),
		CustomID: it.line.CustomID,
		Error:    &wharfjob.ResultError{Code: code, Message: err.Error()},
	})
	return true
}

// pause returns how long the item waits after a failed attempt. It doubles with each endpoint that was lost under the
// item, so that an item that itself crashes endpoints crashes few.
func (it *item) pause() time.Duration {
	if it.preempted {
		return 0
	}
	return min(retryDelay<<min(max(0, it.losses-1), maxDoublings), maxLossPause)
}

// encodePart encodes results as the content of an object and returns the part that describes it.
func encodePart(results []itemResult, object string) (wharfjob.Part, []byte) {
	var data bytes.Buffer
	part := wharfjob.Part{Object: object}
	encoder := json.NewEncoder(&data)
	for _, r := range results {
		_ = encoder.Encode(r.result)
		part.Items = append(part.Items, r.index)
		if r.result.Error != nil {
			part.Failed++
			continue
		}
		part.Completed++
	}
	return part, data.Bytes()
}

// queue holds the items of one service that wait for a permit, in the order in which they were queued.
type queue struct {
	items []*item
}

func (q *queue) push(it *item) {
	q.items = append(q.items, it)
}

func (q *queue) ready(now time.Time) bool {
	return q.next(now) >= 0
}

func (q *queue) next(now time.Time) int {
	for i, it := range q.items {
		if !it.notBefore.After(now) {
			return i
		}
	}
	return -1
}

func (q *queue) pop(now time.Time) *item {
	i := q.next(now)
	it := q.items[i]
	q.items = append(q.items[:i], q.items[i+1:]...)
	return it
}

func (q *queue) drop(c *chunk) {
	kept := q.items[:0]
	for _, it := range q.items {
		if it.chunk != c {
			kept = append(kept, it)
		}
	}
	q.items = kept
}

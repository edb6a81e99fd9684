package wharfbatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfjob"
)

// chunk is a claimed part of a job. The runner's lock guards its items; its own committer alone uses the claim.
type chunk struct {
	ctx     context.Context
	stop    context.CancelFunc
	open    wharfjob.Open
	number  int
	claim   wharfjob.Claim
	key     string
	version uint64
	commits chan struct{} // holds one token, taken by whoever commits
	left    int
	fresh   []answered
}

type answered struct {
	index  int
	result wharfjob.Result
}

type item struct {
	chunk     *chunk
	index     int
	line      wharfjob.Line
	attempts  int
	gaveWay   bool
	progress  Progress
	notBefore time.Time
}

func newChunk(ctx context.Context, open wharfjob.Open, claim wharfjob.Claim, key string, version uint64) *chunk {
	c := &chunk{open: open, number: claim.Chunk, claim: claim, key: key, version: version, commits: make(chan struct{}, 1)}
	c.ctx, c.stop = context.WithCancel(ctx)
	c.commits <- struct{}{}
	return c
}

// items returns the items of the chunk's lines that have no committed result yet.
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
		it := &item{chunk: c, index: index}
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

// answer records the answer of an endpoint; one that says that the item can't be done is an error line.
func (it *item) answer(outcome Outcome) {
	const okLimit = 400
	result := wharfjob.Result{
		ID:       "batch_req_" + uuid.NewString(),
		CustomID: it.line.CustomID,
		Response: &wharfjob.ResultResponse{StatusCode: outcome.StatusCode, RequestID: uuid.NewString(), Body: outcome.Body},
	}
	if outcome.StatusCode >= okLimit {
		result.Error = &wharfjob.ResultError{Code: "request_failed", Message: "the model refused the request"}
	}
	it.chunk.fresh = append(it.chunk.fresh, answered{index: it.index, result: result})
}

// fail records a failed try and reports whether it was the last one, which makes the item an error line.
func (it *item) fail(err error, outcome Outcome) bool {
	it.gaveWay = errors.Is(err, ErrPreempted)
	if it.gaveWay {
		it.progress = outcome.Progress
		return false
	}
	it.attempts++
	poison := errors.Is(err, ErrPoison)
	if it.attempts < maxAttempts && !poison {
		return false
	}
	code := "attempts_exhausted"
	if poison {
		code = "crashes_endpoints"
	}
	it.chunk.fresh = append(it.chunk.fresh, answered{index: it.index, result: wharfjob.Result{
		ID:       "batch_req_" + uuid.NewString(),
		CustomID: it.line.CustomID,
		Error:    &wharfjob.ResultError{Code: code, Message: err.Error()},
	}})
	return true
}

// part encodes results as an object and its description.
func part(results []answered, object string) (wharfjob.Part, []byte) {
	var data bytes.Buffer
	description := wharfjob.Part{Object: object}
	encoder := json.NewEncoder(&data)
	for _, a := range results {
		_ = encoder.Encode(a.result)
		description.Items = append(description.Items, a.index)
		if a.result.Error != nil {
			description.Failed++
			continue
		}
		description.Completed++
	}
	return description, data.Bytes()
}

// queue holds the items of one service that wait for a permit, oldest chunk first.
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

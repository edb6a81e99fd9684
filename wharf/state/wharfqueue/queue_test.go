package wharfqueue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestPopSharesByWeight(t *testing.T) {
	q := New[string]()
	deadline := time.Now().Add(time.Hour)
	for range 300 {
		q.Push("heavy", 2, "heavy", deadline)
		q.Push("light", 1, "light", deadline)
		q.Push("tiny", 0.5, "tiny", deadline)
	}
	served := map[string]int{}
	for range 350 {
		value, ok := q.Pop()
		assert.Assert(t, ok)
		served[value]++
	}
	assert.Equal(t, served["heavy"], 200)
	assert.Equal(t, served["light"], 100)
	assert.Equal(t, served["tiny"], 50)
}

func TestPopReturnsPeekedItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		pushed := 0
		popped := map[int]bool{}
		deadline := time.Now().Add(time.Hour)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				organisation := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")
				weight := rapid.Float64Range(0.1, 4).Draw(t, "weight")
				q.Push(organisation, weight, pushed, deadline)
				pushed++
				continue
			}
			peeked, found := q.Peek()
			value, ok := q.Pop()
			assert.Equal(t, ok, found)
			assert.Equal(t, value, peeked)
			assert.Assert(t, !ok || !popped[value])
			popped[value] = ok || popped[value]
		}
		count := 0
		for _, was := range popped {
			if was {
				count++
			}
		}
		assert.Equal(t, q.Len(), pushed-count)
	})
}

func TestExpire(t *testing.T) {
	q := New[string]()
	now := time.Now()
	q.Push("a", 1, "late", now)
	q.Push("a", 1, "early", now.Add(time.Second))
	q.Push("b", 1, "late too", now.Add(-time.Second))
	assert.Equal(t, len(q.Expire(now)), 2)
	assert.Equal(t, q.Len(), 1)
	assert.Equal(t, q.LenOf("a"), 1)
	assert.Equal(t, q.Flows(), 1)
	value, ok := q.Pop()
	assert.Assert(t, ok)
	assert.Equal(t, value, "early")
	_, ok = q.Pop()
	assert.Assert(t, !ok)
}

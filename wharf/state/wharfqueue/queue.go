package wharfqueue

import "time"

// Queue serves organisations in proportion to their weights (deficit round robin, Shreedhar and Varghese 1995). It is
// not safe for concurrent use.
type Queue[T any] struct {
	flows  map[string]*flow[T]
	active []*flow[T]
	length int
}

// flow holds the waiting items of one organisation.
type flow[T any] struct {
	name    string
	weight  float64
	deficit float64
	entries []entry[T]
}

type entry[T any] struct {
	value    T
	deadline time.Time
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{flows: map[string]*flow[T]{}}
}

// Len returns the number of waiting items of all organisations.
func (q *Queue[T]) Len() int {
	return q.length
}

// Push adds an item of an organisation. weight replaces the weight of the organisation, and deadline is the time after
// which Expire removes the item.
func (q *Queue[T]) Push(organisation string, weight float64, value T, deadline time.Time) {
	f := q.flows[organisation]
	if f == nil {
		f = &flow[T]{name: organisation}
		q.flows[organisation] = f
	}
	if len(f.entries) == 0 {
		f.deficit = 0
		q.active = append(q.active, f)
	}
	f.weight = max(weight, minWeight)
	f.entries = append(f.entries, entry[T]{value: value, deadline: deadline})
	q.length++
}

// minWeight is the lower bound of a weight. It limits the rounds that Peek needs until a deficit reaches one item.
const minWeight = 0.01

// Peek returns the item that Pop would return. ok is false if the queue is empty.
func (q *Queue[T]) Peek() (value T, ok bool) {
	if len(q.active) == 0 {
		return value, false
	}
	for q.active[0].deficit < 1 {
		head := q.active[0]
		head.deficit += head.weight
		if head.deficit < 1 {
			q.rotate()
		}
	}
	return q.active[0].entries[0].value, true
}

// Pop removes and returns the next item in fair order. ok is false if the queue is empty.
func (q *Queue[T]) Pop() (value T, ok bool) {
	value, ok = q.Peek()
	if !ok {
		return value, false
	}
	head := q.active[0]
	head.deficit--
	head.entries = head.entries[1:]
	q.length--
	switch {
	case len(head.entries) == 0:
		q.active = q.active[1:]
		delete(q.flows, head.name)
	case head.deficit < 1:
		q.rotate()
	}
	return value, true
}

// Expire removes and returns the items whose deadline is not after now.
func (q *Queue[T]) Expire(now time.Time) []T {
	var expired []T
	active := q.active[:0]
	for _, f := range q.active {
		remaining := f.entries[:0]
		for _, e := range f.entries {
			if e.deadline.After(now) {
				remaining = append(remaining, e)
				continue
			}
			expired = append(expired, e.value)
		}
		f.entries = remaining
		if len(remaining) == 0 {
			delete(q.flows, f.name)
			continue
		}
		active = append(active, f)
	}
	q.active = active
	q.length -= len(expired)
	return expired
}

// rotate moves the first active flow to the end.
func (q *Queue[T]) rotate() {
	head := q.active[0]
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = head
}

// LenOf returns the number of waiting items of an organisation.
func (q *Queue[T]) LenOf(organisation string) int {
	f := q.flows[organisation]
	if f == nil {
		return 0
	}
	return len(f.entries)
}

// Flows returns the number of organisations that have waiting items.
func (q *Queue[T]) Flows() int {
	return len(q.active)
}

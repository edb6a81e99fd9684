package wharfcapacity

import (
	"container/heap"
	"time"
)

// clock is a discrete-event scheduler. It sleeps between events, since the code under test reads the runtime's clock.
type clock struct {
	now     time.Duration
	queue   eventQueue
	lastSeq int // breaks ties between events due at the same time
}

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// schedule runs a function after a delay.
func (c *clock) schedule(delay time.Duration, run func()) {
	c.lastSeq++
	heap.Push(&c.queue, event{at: c.now + delay, seq: c.lastSeq, run: run})
}

// run executes all events that are due up to a time.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		time.Sleep(e.at - c.now)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// eventQueue is a heap of events by due time.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

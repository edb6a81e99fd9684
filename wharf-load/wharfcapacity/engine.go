package wharfcapacity

import (
	"slices"
	"time"
)

// engine simulates an inference engine with continuous batching: it runs up to slots requests at once, each slower the
// more run, and queues others first in, first out.
type engine struct {
	clock     *clock
	slots     int
	slowdown  float64 // of each request, per other running request
	speed     float64 // work per second of a request that runs alone
	pausing   bool
	eventWork float64 // seconds of work between two events
	running   []*inference
	waiting   []*inference
	updatedAt time.Duration // when the remaining work was last updated
	version   int           // incremented whenever the running requests change
}

// inference is a request that an engine processes.
type inference struct {
	remaining    float64 // seconds of work, when running alone
	prefill      float64 // seconds of work before the first event
	work         float64 // seconds of work in total
	started      bool    // whether the first event was sent
	onFirstEvent func()
	onDone       func()
	cancelled    bool
	longestGap   time.Duration // between two events
}

func newEngine(c *clock, slots int, slowdown float64) *engine {
	return &engine{clock: c, slots: slots, slowdown: slowdown, speed: 1}
}

// submit queues a request unless it was canceled on its way.
func (e *engine) submit(r *inference) {
	if r.cancelled {
		return
	}
	e.advance()
	e.waiting = append(e.waiting, r)
	e.reschedule()
}

// cancel drops a request whose sender has closed the connection.
func (e *engine) cancel(r *inference) {
	r.cancelled = true
	e.advance()
	matches := func(other *inference) bool { return other == r }
	e.running = slices.DeleteFunc(e.running, matches)
	e.waiting = slices.DeleteFunc(e.waiting, matches)
	e.reschedule()
}

// rate returns the seconds of work that each running request completes per second.
func (e *engine) rate() float64 {
	rate := e.speed / (1 + e.slowdown*float64(max(0, len(e.running)-1)))
	if e.pausing {
		rate /= pauseSlowdown
	}
	return rate
}

// pauseSlowdown is how much slower an engine is while it pauses.
const pauseSlowdown = 2.5

// setSpeed changes the speed of what runs from now on.
func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.reschedule()
}

// setPausing begins or ends a pause.
func (e *engine) setPausing(pausing bool) {
	e.advance()
	e.pausing = pausing
	e.reschedule()
}

// advance subtracts the work done since the last update.
func (e *engine) advance() {
	done := (e.clock.now - e.updatedAt).Seconds() * e.rate()
	e.updatedAt = e.clock.now
	for _, r := range e.running {
		r.remaining -= done
	}
}

// reschedule starts queued requests while slots are free, and schedules the next first event or completion.
func (e *engine) reschedule() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.version++
	gap := time.Duration(e.eventWork / e.rate() * float64(time.Second))
	for _, r := range e.running {
		r.longestGap = max(r.longestGap, gap)
	}
	if len(e.running) == 0 {
		return
	}
	next := e.running[0].untilNextEvent()
	for _, r := range e.running {
		next = min(next, r.untilNextEvent())
	}
	version := e.version
	wait := time.Duration(next/e.rate()*float64(time.Second)) + time.Microsecond
	e.clock.schedule(wait, func() {
		if e.version == version {
			e.step()
		}
	})
}

// untilNextEvent returns the seconds of work until the request's first event or, after that, its completion.
func (r *inference) untilNextEvent() float64 {
	if r.started {
		return max(0, r.remaining)
	}
	return max(0, r.remaining-(r.work-r.prefill))
}

// step handles the first events and completions that are due.
func (e *engine) step() {
	e.advance()
	var ended []*inference
	for _, r := range e.running {
		if !r.started && r.remaining <= r.work-r.prefill {
			r.started = true
			r.onFirstEvent()
		}
		if r.remaining <= 0 {
			ended = append(ended, r)
		}
	}
	for _, r := range ended {
		e.running = slices.DeleteFunc(e.running, func(other *inference) bool { return other == r })
	}
	e.reschedule()
	for _, r := range ended {
		r.onDone()
	}
}

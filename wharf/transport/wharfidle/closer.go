package wharfidle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer closes a server's idle connections, only between requests. It replaces http.Server.IdleTimeout, which cannot
// change while the server runs.
type Closer struct {
	idleTimeout func() time.Duration
	mu          sync.Mutex
	idle        map[net.Conn]*idlePeriod
	states      map[net.Conn]http.ConnState // of the open connections
	accepted    int
}

// Counts are the numbers of connections, by what they wait for.
type Counts struct {
	Accepted int // since the start
	New      int // open, without a request yet
	Active   int // open, with a request that is read or answered
	Idle     int // open, between requests
}

// idlePeriod is one idle period of a connection. The closer's mutex guards its timer.
type idlePeriod struct {
	timer *time.Timer
}

// New returns a closer. It calls idleTimeout whenever a connection becomes idle; a result of 0 means no timeout.
func New(idleTimeout func() time.Duration) *Closer {
	return &Closer{idleTimeout: idleTimeout, idle: map[net.Conn]*idlePeriod{}, states: map[net.Conn]http.ConnState{}}
}

// Track records a state change of a connection; use it as http.Server.ConnState.
func (c *Closer) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.accepted++
		c.states[conn] = state
	case http.StateClosed, http.StateHijacked:
		delete(c.states, conn)
	default:
		c.states[conn] = state
	}
	if previous := c.idle[conn]; previous != nil {
		previous.timer.Stop()
		delete(c.idle, conn)
	}
	if state != http.StateIdle {
		return
	}
	limit := c.idleTimeout()
	if limit <= 0 {
		return
	}
	period := &idlePeriod{}
	period.timer = time.AfterFunc(limit, func() { c.expire(conn, period) })
	c.idle[conn] = period
}

// expire closes a connection unless it has received a request since.
func (c *Closer) expire(conn net.Conn, period *idlePeriod) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle[conn] != period {
		return
	}
	delete(c.idle, conn)
	_ = conn.Close()
}

// Counts returns the current numbers of connections.
func (c *Closer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := Counts{Accepted: c.accepted}
	for _, state := range c.states {
		switch state {
		case http.StateNew:
			counts.New++
		case http.StateActive:
			counts.Active++
		case http.StateIdle:
			counts.Idle++
		}
	}
	return counts
}

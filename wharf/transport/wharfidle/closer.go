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
	open        map[net.Conn]connection
	accepted    int
}

// Counts are the numbers of connections, by what they wait for.
type Counts struct {
	Accepted int // since the start
	New      int // open, without a request yet
	Active   int // open, with a request that is read or answered
	Idle     int // open, between requests
}

// connection is the state of an open connection.
type connection struct {
	state http.ConnState
	since time.Time
}

// idlePeriod is one idle period of a connection. The closer's mutex guards its timer.
type idlePeriod struct {
	timer *time.Timer
}

// New returns a closer. It calls idleTimeout whenever a connection becomes idle; a result of 0 means no timeout.
func New(idleTimeout func() time.Duration) *Closer {
	return &Closer{idleTimeout: idleTimeout, idle: map[net.Conn]*idlePeriod{}, open: map[net.Conn]connection{}}
}

// Track records a state change of a connection; use it as http.Server.ConnState.
func (c *Closer) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.accepted++
		c.open[conn] = connection{state, time.Now()}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	default:
		c.open[conn] = connection{state, time.Now()}
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

// expire closes a connection unless it has received a request, or a part of one, since.
func (c *Closer) expire(conn net.Conn, period *idlePeriod) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle[conn] != period {
		return
	}
	delete(c.idle, conn)
	if !readable(conn) {
		_ = conn.Close()
	}
}

// CloseUnused closes the connections that have been between two requests for idle, or open without a request for unused,
// unless data has arrived that the server has not read.
func (c *Closer) CloseUnused(idle, unused time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, current := range c.open {
		age := time.Since(current.since)
		expired := current.state == http.StateIdle && age >= idle || current.state == http.StateNew && age >= unused
		if expired && !readable(conn) {
			_ = conn.Close()
		}
	}
}

// Counts returns the current numbers of connections.
func (c *Closer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := Counts{Accepted: c.accepted}
	for _, current := range c.open {
		switch current.state {
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

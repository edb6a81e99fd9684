package wharfidle

import (
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Closer closes a server's idle connections, only between requests. It replaces http.Server.IdleTimeout, which cannot
// change while the server runs.
type Closer struct {
	idleTimeout func() time.Duration
	mu          sync.Mutex
	idle        map[net.Conn]*idlePeriod
	open        map[net.Conn]connection
	accepted    int
	most        int         // open connections, 0 for any number
	endStalled  func() bool // ends a request that hardly arrives, and reports whether there was one
	closed      int         // connections closed to make room
	refused     int         // connections for which there was no room
	loggedAt    time.Time
}

// Counts are the numbers of connections, by what they wait for.
type Counts struct {
	Accepted int // since the start
	New      int // open, without a request yet
	Active   int // open, with a request that is read or answered
	Idle     int // open, between requests
	Closed   int // closed to make room for others, since the start
	Refused  int // closed at once, since the start, because there was no room
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

// Bound bounds the number of open connections from now on. A new connection beyond the bound takes the place of the one that
// has been idle for longest, or else of the one that has waited for longest for its first request. If there is none, endStalled
// is called to end a request that holds a connection without progress; if there is none either, the new one is closed.
func (c *Closer) Bound(most int, endStalled func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most, c.endStalled = most, endStalled
}

// logInterval is the least time between two log lines about connections that were closed to make room.
const logInterval = time.Second

// makeRoom closes a connection if there are too many. The caller holds c.mu.
func (c *Closer) makeRoom(latest net.Conn) {
	if c.most == 0 || len(c.open) <= c.most {
		return
	}
	victim := c.longest(http.StateIdle, latest)
	if victim == nil {
		victim = c.longest(http.StateNew, latest)
	}
	switch {
	case victim != nil:
		c.closed++
	case len(c.open) <= c.most+c.most/overshare && c.endStalled():
		c.closed++
		return // its connection is closed soon
	default:
		victim = latest
		c.refused++
	}
	delete(c.open, victim)
	_ = socket(victim).Close() // closing a TLS connection would write to it
	if time.Since(c.loggedAt) >= logInterval {
		c.loggedAt = time.Now()
		klog.InfoS("too many connections of callers", "most", c.most, "closed", c.closed, "refused", c.refused)
	}
}

// overshare is the part, one in overshare, by which the bound may be exceeded while connections of ended requests are closed.
const overshare = 16

// longest returns the connection other than latest that has been in a state for longest, or nil. One with unread data is left
// alone between requests: the data may be the next one.
func (c *Closer) longest(state http.ConnState, latest net.Conn) net.Conn {
	var found net.Conn
	var since time.Time
	for conn, current := range c.open {
		if current.state != state || conn == latest || found != nil && !current.since.Before(since) {
			continue
		}
		if state == http.StateIdle && readable(conn) {
			continue
		}
		found, since = conn, current.since
	}
	return found
}

// Track records a state change of a connection; use it as http.Server.ConnState.
func (c *Closer) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.accepted++
		c.open[conn] = connection{state, time.Now()}
		c.makeRoom(conn)
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
	counts := Counts{Accepted: c.accepted, Closed: c.closed, Refused: c.refused}
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

package wharfidle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Closer closes idle connections of a server, between requests only; net/http's own limit can't change while it serves.
type Closer struct {
	idleTimeout func() time.Duration
	mu          sync.Mutex
	idle        map[net.Conn]*idlePeriod
}

// idlePeriod is one idle time of a connection; the closer's lock guards its timer.
type idlePeriod struct {
	timer *time.Timer
}

// New returns a closer; limit is asked when a connection becomes idle, and 0 stands for no limit.
func New(idleTimeout func() time.Duration) *Closer {
	return &Closer{idleTimeout: idleTimeout, idle: map[net.Conn]*idlePeriod{}}
}

// Track follows a connection's states; it is the server's ConnState.
func (c *Closer) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before := c.idle[conn]; before != nil {
		before.timer.Stop()
		delete(c.idle, conn)
	}
	if state != http.StateIdle {
		return
	}
	limit := c.idleTimeout()
	if limit <= 0 {
		return
	}
	present := &idlePeriod{}
	present.timer = time.AfterFunc(limit, func() { c.expire(conn, present) })
	c.idle[conn] = present
}

// expire closes a connection unless a request has come since.
func (c *Closer) expire(conn net.Conn, present *idlePeriod) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle[conn] != present {
		return
	}
	delete(c.idle, conn)
	_ = conn.Close()
}

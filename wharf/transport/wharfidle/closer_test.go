package wharfidle

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

type conn struct {
	net.Conn
	closed atomic.Bool
}

func (c *conn) Close() error {
	c.closed.Store(true)
	return nil
}

func TestConnectionsAreClosedOnlyBetweenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 10 * time.Second
		closer := New(func() time.Duration { return limit })
		idle, busy, unlimited := &conn{}, &conn{}, &conn{}
		closer.Track(idle, http.StateIdle)
		closer.Track(busy, http.StateIdle)
		time.Sleep(9 * time.Second)
		closer.Track(busy, http.StateActive)
		limit = 0
		closer.Track(unlimited, http.StateIdle)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Assert(t, idle.closed.Load())
		assert.Assert(t, !busy.closed.Load(), "a request runs on it")
		limit = time.Second
		closer.Track(busy, http.StateIdle)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Assert(t, busy.closed.Load(), "a changed timeout applies from the next idle period on")
		assert.Assert(t, !unlimited.closed.Load())
	})
}

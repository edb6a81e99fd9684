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

// TestConnectionsMakeRoom guards against connections that keep others out: idle ones are closed first, then those without a
// request, then those whose requests hardly arrive. Connections that carry requests are kept.
func TestConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 16
		stalled := 1
		closer := New(func() time.Duration { return time.Hour })
		closer.Bound(most, func() bool {
			stalled--
			return stalled >= 0
		})
		open := make([]*conn, most)
		for i := range open {
			open[i] = &conn{}
			closer.Track(open[i], http.StateNew)
			time.Sleep(time.Second)
			if i != 2 {
				closer.Track(open[i], http.StateActive)
			}
		}
		closer.Track(open[9], http.StateIdle)
		time.Sleep(time.Second)
		closer.Track(open[5], http.StateIdle)
		latest := func() *conn {
			c := &conn{}
			closer.Track(c, http.StateNew)
			closer.Track(c, http.StateActive)
			return c
		}
		for _, want := range []int{9, 5, 2} {
			assert.Assert(t, !open[want].closed.Load())
			assert.Assert(t, !latest().closed.Load())
			assert.Assert(t, open[want].closed.Load(), "connection %d is still open", want)
		}
		assert.Assert(t, !latest().closed.Load(), "a stalled request was ended for it")
		assert.Assert(t, latest().closed.Load(), "nothing is left to end")
		counts := closer.Counts()
		assert.Equal(t, counts.Closed, 4)
		assert.Equal(t, counts.Refused, 1)
		for i, c := range open {
			assert.Equal(t, c.closed.Load(), i == 9 || i == 5 || i == 2)
		}
	})
}

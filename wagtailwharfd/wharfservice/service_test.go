package wharfservice

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/transport/wharfidle"
)

// TestRequestsThatHaveArrivedAreAnsweredAtAPlannedStop guards against a slow process that cut off requests on connections
// that it had not accepted, or not read from, when its server was shut down (soak seed 5003).
func TestRequestsThatHaveArrivedAreAnsweredAtAPlannedStop(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	slow, connections := make(chan struct{}), wharfidle.New(func() time.Duration { return time.Minute })
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			connections.Track(conn, state)
			if state == http.StateNew {
				<-slow // the server accepts no further connection meanwhile
			}
		},
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = ServeHTTP(t.Context(), server, listener) })
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() {
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.Check(t, err == nil, "%v", err)
			time.Sleep(time.Duration(i%2) * 600 * time.Millisecond) // half of the requests arrive after the listener is closed
			_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
			assert.Check(t, err == nil, "%v", err)
			data, err := io.ReadAll(conn)
			assert.Check(t, err == nil && strings.HasSuffix(string(data), "answer"), "%q, %v", data, err)
			_ = conn.Close()
		})
	}
	time.Sleep(200 * time.Millisecond)
	time.AfterFunc(100*time.Millisecond, func() { close(slow) })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, Drain(ctx, server, listener, connections))
	callers.Wait()
	serving.Wait()
}

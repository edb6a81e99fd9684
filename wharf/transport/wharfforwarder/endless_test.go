package wharfforwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/protocol/wharfframes"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/transport/wharfhttpconn"
)

// endlessEndpoint answers each request with a start and then repeats a part until the host closes the connection.
type endlessEndpoint struct {
	address netip.AddrPort
	closed  chan int // bytes sent on a connection that the host has closed
}

func newEndlessEndpoint(t *testing.T, start, repeated string, pause time.Duration) *endlessEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endlessEndpoint{address: netip.MustParseAddrPort(listener.Addr().String()), closed: make(chan int, 10)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, start, repeated, pause)
		}
	}()
	return e
}

func (e *endlessEndpoint) serve(conn net.Conn, start, repeated string, pause time.Duration) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	sent := 0
	data, rest := []byte(start), []byte(repeated) // the host's allocations are measured while this runs
	for {
		n, err := conn.Write(data)
		sent += n
		if err != nil {
			e.closed <- sent
			return
		}
		data = rest
		time.Sleep(pause)
	}
}

const (
	responseHead = "HTTP/1.1 200 OK\r\n"
	ownHead      = responseHead + "Id: one\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n"
	chunkedHead  = ownHead + "Transfer-Encoding: chunked\r\n\r\n"
	block        = 32 << 10
	// hostLimit bounds what one endless response may make a host allocate: a small part of the smallest host's memory.
	hostLimit = 8 << 20
	timeLimit = time.Second
	deadline  = 2 * time.Second
)

// TestBytesWithoutEndAreBounded plays endpoints that send bytes that are no answer until the host closes the
// connection, at full speed. Each must cost little memory, count as a fault and not be used again.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		start, repeated string
		streaming       bool
		outcome         wharfoutcome.Outcome
	}{
		"status line":     {"", strings.Repeat("x", block), true, wharfoutcome.Malformed},
		"header line":     {responseHead + "X: ", strings.Repeat("x", block), true, wharfoutcome.Malformed},
		"header lines":    {responseHead, strings.Repeat("X: y\r\n", block/6), true, wharfoutcome.Malformed},
		"interim answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", block/28), true, wharfoutcome.Malformed},
		"answers to other requests": {
			"", strings.Repeat(responseHead+"Id: other\r\nContent-Length: 0\r\n\r\n", block/57), true, wharfoutcome.Malformed,
		},
		"answer to another request": {
			responseHead + "Id: other\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", block), true,
			wharfoutcome.Malformed,
		},
		"chunk extension": {chunkedHead + "1;", strings.Repeat("x", block), true, wharfoutcome.Malformed},
		"chunk size":      {chunkedHead, strings.Repeat("0", block), true, wharfoutcome.Malformed},
		"trailer": {
			chunkedHead + "d\r\nid: 1\ndata:1\n\r\n1\r\n\n\r\n0\r\nX: ", strings.Repeat("x", block), true, wharfoutcome.Malformed,
		},
		"events without a number": {ownHead + "\r\n", strings.Repeat("data: x\n\n", block/9), true, wharfoutcome.Malformed},
		"line feeds":              {ownHead + "\r\n", strings.Repeat("\n", block), true, wharfoutcome.Malformed},
		"comments":                {ownHead + "\r\nid: 1\ndata: 1\n\n", strings.Repeat(": none\n\n", block/8), true, wharfoutcome.Malformed},
		"event":                   {ownHead + "\r\ndata: ", strings.Repeat("x", block), true, wharfoutcome.Malformed},
		"refusal": {
			"HTTP/1.1 503 Unavailable\r\nNot-Run: yes\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", block), true,
			wharfoutcome.Declined,
		},
		"wrong endpoint": {
			"HTTP/1.1 421 Misdirected\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", block), true,
			wharfoutcome.WrongEndpoint,
		},
		"server error": {
			"HTTP/1.1 500 Error\r\nId: one\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", block), true,
			wharfoutcome.Failed,
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndlessEndpoint(t, c.start, c.repeated, 0)
			pool := wharfhttpconn.NewPool()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			result := doOnce(t, pool, e.address, c.streaming)
			runtime.ReadMemStats(&after)
			assert.Equal(t, result.Outcome, c.outcome, "%v", result.Err)
			assert.Assert(t, time.Since(started) < timeLimit, "it took %v", time.Since(started))
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated < hostLimit, "%d bytes were allocated", allocated)
			assertClosed(t, e, pool)
			if result.ErrorResponse != nil {
				assert.Assert(t, len(result.ErrorResponse.Body) <= maxErrorBodyBytes)
			}
		})
	}
}

// TestRestOfADiscardedBodyIsNotTheNextAnswer plays a refusal whose body pauses where the host stops reading it.
func TestRestOfADiscardedBodyIsNotTheNextAnswer(t *testing.T) {
	head := "HTTP/1.1 503 Unavailable\r\nNot-Run: yes\r\nContent-Length: 99999999\r\n\r\n"
	e := newEndlessEndpoint(t, head+strings.Repeat("x", maxErrorBodyBytes+1), "x", 50*time.Millisecond)
	pool := wharfhttpconn.NewPool()
	assert.Equal(t, doOnce(t, pool, e.address, true).Outcome, wharfoutcome.Declined)
	assertClosed(t, e, pool)
}

// TestTricklingEndpointsEnd plays endpoints that send a byte now and then but never anything complete. The caller must
// hear within the time that a silent endpoint would be given.
func TestTricklingEndpointsEnd(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"head":            {responseHead + "X: ", "x"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"first event":     {ownHead + "\r\ndata: ", "x"},
		"later event":     {ownHead + "\r\nid: 1\ndata: 1\n\ndata: ", "x"},
		"comments":        {ownHead + "\r\nid: 1\ndata: 1\n\n", ": still here\n\n"},
		"server error":    {"HTTP/1.1 500 Error\r\nId: one\r\nContent-Length: 99\r\n\r\n", "x"},
		"refusal":         {"HTTP/1.1 503 No\r\nNot-Run: yes\r\nContent-Length: 99\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndlessEndpoint(t, c.start, c.repeated, 30*time.Millisecond)
			pool := wharfhttpconn.NewPool()
			started := time.Now()
			result := doOnce(t, pool, e.address, true)
			assert.Assert(t, result.Outcome != 0)
			assert.Assert(t, time.Since(started) < timeLimit, "it took %v", time.Since(started))
			assertClosed(t, e, pool)
		})
	}
}

// TestSlowButSoundStreamIsNotCut plays a stream whose pauses are nine tenths of what is allowed. A play in which the busy
// machine made a pause of the endpoint longer than is allowed says nothing and is followed by another.
func TestSlowButSoundStreamIsNotCut(t *testing.T) {
	const events, plays = 12, 20
	for range plays {
		result, longest := playSlowStream(t, events)
		if result.Err == nil || longest < idleTimeout {
			assert.NilError(t, result.Err)
			assert.Equal(t, result.Events, events)
			return
		}
	}
	t.Fatal("the endpoint was never on time")
}

// playSlowStream returns the result of a slow stream, and the longest pause between two of the endpoint's writes.
func playSlowStream(t *testing.T, events int) (Result, time.Duration) {
	var parts []string
	for i := range events {
		parts = append(parts, fmt.Sprintf("id: %d\ndata: x\n\n", i+1))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	var serving sync.WaitGroup
	longest := time.Duration(0)
	serving.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, ownHead+"Connection: close\r\n\r\n")
		for _, part := range parts {
			start := time.Now()
			time.Sleep(idleTimeout * 9 / 10)
			_, _ = io.WriteString(conn, part)
			longest = max(longest, time.Since(start))
		}
	})
	result := doOnce(t, wharfhttpconn.NewPool(), netip.MustParseAddrPort(listener.Addr().String()), true)
	serving.Wait()
	return result, longest
}

const idleTimeout = 100 * time.Millisecond

func doOnce(t *testing.T, pool *wharfhttpconn.Pool, address netip.AddrPort, streaming bool) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return New(dialect{}, pool).Do(ctx, &Exchange{
		Call:      &wharfcall.Call{ID: "one", Method: "POST", Target: "/", Host: "h", Body: []byte("body")},
		Attempt:   wharfcall.Attempt{Remaining: deadline},
		Address:   address,
		Streaming: streaming, FirstEventTimeout: 400 * time.Millisecond, IdleTimeout: idleTimeout,
	}, discardSink{})
}

// discardSink accepts everything.
type discardSink struct{}

func (discardSink) WriteHeader(int, http.Header) error { return nil }

func (discardSink) WriteEvent(wharfframes.Event, bool) error { return nil }

func (discardSink) WriteBody([]byte) error { return nil }

// assertClosed checks that the host has closed the connection and keeps none to the endpoint.
func assertClosed(t *testing.T, e *endlessEndpoint, pool *wharfhttpconn.Pool) {
	t.Helper()
	assert.Assert(t, !pool.HasIdle(e.address), "the connection must not be used again")
	select {
	case <-e.closed:
	case <-time.After(timeLimit):
		t.Fatal("the host did not close the connection")
	}
}

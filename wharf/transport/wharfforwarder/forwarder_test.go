package wharfforwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/protocol/wharfdialect"
	"wagtailwharf.example/wharf/protocol/wharfframes"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/transport/wharfhttpconn"
)

// dialect implements only the methods that these tests call.
type dialect struct {
	wharfdialect.Dialect
}

func (dialect) AttemptHeader(c *wharfcall.Call, a wharfcall.Attempt) http.Header {
	header := http.Header{"Id": {c.ID}}
	if a.Resumes {
		header.Set("After", fmt.Sprint(a.LastEvent))
	}
	return header
}

func (dialect) DecodeResponse(status int, header http.Header) wharfcall.Response {
	return wharfcall.Response{
		Status:        status,
		ID:            header.Get("Id"),
		NotRun:        header.Get("Not-Run") != "",
		WrongEndpoint: status == http.StatusMisdirectedRequest,
		Signed:        header.Get("Signed") != "",
		Encoded:       header.Get("Content-Encoding") != "",
		EventStream:   header.Get("Content-Type") == "text/event-stream",
	}
}

// endpoint answers each request with the scripted parts; "close" and "reset" end the connection, "silence" pauses for a
// second, "end answer" closes the connection in one direction, "read" and "stall" read the request body or do not, and a leading
// "early" responds before the request body is read.
type endpoint struct {
	t        *testing.T
	address  netip.AddrPort
	mu       sync.Mutex
	requests []string // request IDs
	bodies   []string
	conns    int
	repeat   []string // written before each response but the first of a connection, at most one
}

func newEndpoint(t *testing.T, answer func(id string, request int) []string) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endpoint{t: t, address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			go e.serve(conn.(*net.TCPConn), answer)
		}
	}()
	return e
}

func (e *endpoint) serve(conn *net.TCPConn, answer func(id string, request int) []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		e.mu.Lock()
		e.requests = append(e.requests, id)
		count := len(e.requests)
		e.mu.Unlock()
		parts := slices.Concat(e.repeat[:min(answered, len(e.repeat))], answer(id, count))
		if len(parts) == 0 || parts[0] != "early" {
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			e.mu.Lock()
			e.bodies = append(e.bodies, string(body))
			e.mu.Unlock()
		}
		for _, part := range parts {
			switch part {
			case "early":
			case "close":
				return
			case "reset":
				_ = conn.SetLinger(0)
				return
			case "silence":
				time.Sleep(time.Second)
			case "short silence":
				time.Sleep(20 * time.Millisecond)
			case "end answer":
				_ = conn.CloseWrite()
			case "read":
				_, _ = io.Copy(io.Discard, request.Body)
				return
			case "stall":
				time.Sleep(6 * time.Second)
				return
			default:
				if _, err := io.WriteString(conn, part); err != nil {
					return
				}
			}
		}
	}
}

func head(id, rest string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n" + rest + "\r\n"
}

func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

const lastChunk = "0\r\n\r\n"

func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
}

func stream(id string, from, to int) string {
	text := head(id, "Transfer-Encoding: chunked\r\n")
	for n := from; n <= to; n++ {
		text += chunk(event(n))
	}
	return text
}

// recordingSink records the response that it receives.
type recordingSink struct {
	status  int
	text    strings.Builder
	headers int
}

func (r *recordingSink) WriteHeader(status int, _ http.Header) error {
	r.status = status
	r.headers++
	return nil
}

func (r *recordingSink) WriteEvent(e wharfframes.Event, _ bool) error {
	r.text.Write(e.Raw)
	return nil
}

func (r *recordingSink) WriteBody(data []byte) error {
	r.text.Write(data)
	return nil
}

func exchange(e *endpoint, id string) *Exchange {
	return &Exchange{
		Call:              &wharfcall.Call{ID: id, Method: "POST", Target: "/a%20b?c=d", Host: "h", Body: []byte("body")},
		Address:           e.address,
		Streaming:         true,
		FirstEventTimeout: 300 * time.Millisecond,
		IdleTimeout:       300 * time.Millisecond,
	}
}

func do(t *testing.T, f *Forwarder, x *Exchange, to ResponseSink) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.Do(ctx, x, to)
}

func TestOutcomes(t *testing.T) {
	whole := stream("x", 1, 3) + lastChunk
	for _, c := range []struct {
		name    string
		answer  []string
		outcome wharfoutcome.Outcome
		text    string
	}{
		{"whole stream", []string{whole}, 0, event(1) + event(2) + event(3)},
		{"stream in pieces", []string{stream("x", 1, 2), chunk("id: 3\n"), chunk("data: 3\n\n"), lastChunk}, 0, event(1) + event(2) + event(3)},
		{"stream without a length", []string{head("x", "") + event(1), "close"}, 0, event(1)},
		{"stream without a length that ends inside an event", []string{head("x", "") + event(1) + "id: 2", "close"}, wharfoutcome.ConnectionLost, event(1)},
		{"stream without a length that ends before its first event", []string{head("x", ""), "close"}, wharfoutcome.ConnectionLost, ""},
		{"stream without a length that is reset", []string{head("x", "") + event(1), "reset"}, wharfoutcome.ConnectionLost, ""},
		{"chunked stream that ends early", []string{stream("x", 1, 2), "close"}, wharfoutcome.ConnectionLost, event(1) + event(2)},
		{"chunked stream that ends inside an event", []string{stream("x", 1, 1) + chunk("id: 2\nda") + lastChunk}, wharfoutcome.ConnectionLost, event(1)},
		{"missing event", []string{stream("x", 1, 1) + chunk(event(3)) + lastChunk}, wharfoutcome.Malformed, event(1)},
		{"duplicate event", []string{stream("x", 1, 1) + chunk(event(1)) + lastChunk}, wharfoutcome.Malformed, event(1)},
		{"response to another request first", []string{stream("old", 5, 6) + lastChunk + whole}, 0, event(1) + event(2) + event(3)},
		{"only a response to another request", []string{stream("old", 5, 6) + lastChunk, "close"}, wharfoutcome.ConnectionLost, ""},
		{"success that names no request", []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}, wharfoutcome.Malformed, ""},
		{"success without a signature", []string{"HTTP/1.1 200 OK\r\nId: x\r\nContent-Type: text/event-stream\r\n\r\n" + event(1), "close"}, wharfoutcome.Malformed, ""},
		{"success that is no event stream", []string{"HTTP/1.1 200 OK\r\nId: x\r\nSigned: yes\r\nContent-Type: a/b\r\n\r\n" + event(1), "close"}, wharfoutcome.Malformed, ""},
		{"success that is encoded", []string{head("x", "Content-Encoding: gzip\r\n") + event(1), "close"}, wharfoutcome.Malformed, ""},
		{"partial content", []string{strings.Replace(whole, "200 OK", "206 Partial", 1)}, wharfoutcome.Malformed, ""},
		{"stream without an event", []string{stream("x", 1, 0) + lastChunk}, wharfoutcome.Malformed, ""},
		{"stream of a comment", []string{stream("x", 1, 0) + chunk(": comment\n\n") + lastChunk}, wharfoutcome.Malformed, ""},
		{"bytes that are not HTTP", []string{"\x00\x01\x02 nonsense\r\n\r\n"}, wharfoutcome.Malformed, ""},
		{"closed without a response", []string{"close"}, wharfoutcome.ConnectionLost, ""},
		{"silence", []string{"silence", "close"}, wharfoutcome.TimedOut, ""},
		{"silence within the stream", []string{stream("x", 1, 1), "silence", "close"}, wharfoutcome.TimedOut, event(1)},
		{"declined", []string{"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"}, wharfoutcome.Declined, ""},
		{"misplaced", []string{"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"}, wharfoutcome.WrongEndpoint, ""},
		{"failed", []string{"HTTP/1.1 500 X\r\nId: x\r\nContent-Length: 4\r\n\r\noops"}, wharfoutcome.Failed, ""},
		{"client error from the endpoint is forwarded", []string{"HTTP/1.1 422 X\r\nId: x\r\nContent-Length: 2\r\n\r\nno"}, 0, "no"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, func(string, int) []string { return c.answer })
			f := New(dialect{}, wharfhttpconn.NewPool())
			to := &recordingSink{}
			result := do(t, f, exchange(e, "x"), to)
			assert.Equal(t, result.Outcome, c.outcome, "%v", result.Err)
			if c.text != "" || c.outcome == wharfoutcome.Malformed {
				assert.Equal(t, to.text.String(), c.text)
			}
		})
	}
}

func TestUnreachableEndpointReportsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &endpoint{address: netip.MustParseAddrPort(listener.Addr().String())}
	assert.NilError(t, listener.Close())
	result := do(t, New(dialect{}, wharfhttpconn.NewPool()), exchange(e, "x"), &recordingSink{})
	assert.Equal(t, result.Outcome, wharfoutcome.NotSent)
}

func TestReusedConnectionDiscardsLateResponses(t *testing.T) {
	e := newEndpoint(t, func(id string, request int) []string {
		answer := []string{stream(id, 1, 2) + lastChunk}
		if request == 1 {
			// A duplicate response to the first request arrives where the response to the second one is expected.
			return append(answer, "silence")
		}
		return append([]string{stream("x1", 1, 2) + lastChunk}, answer...)
	})
	f := New(dialect{}, wharfhttpconn.NewPool())
	for i := 1; i <= 3; i++ {
		x := exchange(e, fmt.Sprint("x", i))
		x.FirstEventTimeout = 2 * time.Second
		result := do(t, f, x, &recordingSink{})
		assert.Equal(t, result.Outcome, wharfoutcome.Outcome(0), "%v", result.Err)
	}
	assert.Equal(t, e.conns, 1)
}

// TestLateResponseWithoutIDIsNotTaken guards against a second copy of a refusal, without an ID, that arrives on a reused
// connection after the next request was sent: that request runs, and must not be called not run.
func TestLateResponseWithoutIDIsNotTaken(t *testing.T) {
	for name, late := range map[string]string{
		"refusal": "HTTP/1.1 503 Unavailable\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n",
		"error":   "HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\nbad",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(id string, request int) []string {
				answer := []string{stream(id, 1, 2) + lastChunk}
				if request == 1 {
					return append(answer, "silence")
				}
				return append([]string{late}, answer...)
			})
			f := New(dialect{}, wharfhttpconn.NewPool())
			for _, id := range []string{"one", "two"} {
				x := exchange(e, id)
				x.FirstEventTimeout = 2 * time.Second
				result := do(t, f, x, &recordingSink{})
				assert.Equal(t, result.Outcome, wharfoutcome.Outcome(0), "%s: %v", id, result.Err)
			}
			assert.Equal(t, e.conns, 1)
		})
	}
}

func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	e := newEndpoint(t, func(id string, _ int) []string {
		return []string{stream(id, 1, 2) + lastChunk + stream(id, 1, 2) + lastChunk}
	})
	f := New(dialect{}, wharfhttpconn.NewPool())
	for i := range 3 {
		to := &recordingSink{}
		result := do(t, f, exchange(e, fmt.Sprint("x", i)), to)
		assert.Equal(t, result.Outcome, wharfoutcome.Outcome(0))
		assert.Equal(t, to.text.String(), event(1)+event(2))
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, e.conns, 3)
}

func TestResumedStreamContinuesAfterLastEvent(t *testing.T) {
	e := newEndpoint(t, func(id string, _ int) []string { return []string{stream(id, 4, 6) + lastChunk} })
	f := New(dialect{}, wharfhttpconn.NewPool())
	x := exchange(e, "x")
	x.Attempt = wharfcall.Attempt{Resumes: true, LastEvent: 3}
	x.HeaderWritten = true
	to := &recordingSink{}
	result := do(t, f, x, to)
	assert.Equal(t, result.Outcome, wharfoutcome.Outcome(0))
	assert.Equal(t, to.text.String(), event(4)+event(5)+event(6))
	assert.Equal(t, to.headers, 0, "the sink already has the header")
	x = exchange(e, "y")
	x.Attempt = wharfcall.Attempt{Resumes: true, LastEvent: 1}
	result = do(t, f, x, &recordingSink{})
	assert.Equal(t, result.Outcome, wharfoutcome.Malformed, "events are missing")
}

// TestEarlyResponseToLongBody guards against reusing a connection whose endpoint responded before it had read the whole
// body: the rest of the body would run into the next request.
func TestEarlyResponseToLongBody(t *testing.T) {
	e := newEndpoint(t, func(id string, request int) []string {
		if request == 1 {
			return []string{"early", head(id, "Content-Length: 2\r\n") + "no", "silence", "close"}
		}
		return []string{head(id, "Content-Length: 2\r\n") + "ok"}
	})
	f := New(dialect{}, wharfhttpconn.NewPool())
	x := exchange(e, "x1")
	x.Streaming = false
	x.Call.Body = make([]byte, 8<<20)
	result := do(t, f, x, &recordingSink{})
	assert.Equal(t, result.Outcome, wharfoutcome.Outcome(0), "%v", result.Err)
	x = exchange(e, "x2")
	x.Streaming = false
	assert.Equal(t, do(t, f, x, &recordingSink{}).Outcome, wharfoutcome.Outcome(0))
	assert.Equal(t, e.conns, 2)
	assert.Equal(t, e.bodies[len(e.bodies)-1], "body")
}

func TestCallerDisconnectCancelsEndpointRequest(t *testing.T) {
	gone := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, stream("x", 1, 1))
		_, _ = io.Copy(io.Discard, conn)
		close(gone)
	}()
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(100*time.Millisecond, func() { cancel(errors.New("caller disconnected")) })
	x := exchange(&endpoint{address: netip.MustParseAddrPort(listener.Addr().String())}, "x")
	x.IdleTimeout = 5 * time.Second
	result := New(dialect{}, wharfhttpconn.NewPool()).Do(ctx, x, &recordingSink{})
	assert.Equal(t, result.Outcome, wharfoutcome.CallerGone)
	select {
	case <-gone:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the endpoint still runs the request")
	}
}

func TestSilentEndpointIsStalledUntilItResponds(t *testing.T) {
	e := newEndpoint(t, func(id string, _ int) []string { return []string{"silence", stream(id, 1, 2) + lastChunk} })
	var stalls []bool
	x := exchange(e, "x")
	x.FirstEventTimeout = 3 * time.Second
	x.StallTimeout = 200 * time.Millisecond
	x.OnStall = func(stalled bool) { stalls = append(stalls, stalled) }
	assert.Equal(t, do(t, New(dialect{}, wharfhttpconn.NewPool()), x, &recordingSink{}).Outcome, wharfoutcome.Outcome(0))
	assert.DeepEqual(t, stalls, []bool{true, false})
}

// TestEarlierRefusalWrittenAgainIsNotTakenForTheNextTry guards against the next try of an item, which has the same ID, at the
// same endpoint on the connection that brought the first refusal.
func TestEarlierRefusalWrittenAgainIsNotTakenForTheNextTry(t *testing.T) {
	for name, refusal := range map[string]string{
		"declined":  "HTTP/1.1 503 X\r\nId: x\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno",
		"misplaced": "HTTP/1.1 421 X\r\nId: x\r\nContent-Length: 0\r\n\r\n",
		"failed":    "HTTP/1.1 500 X\r\nId: x\r\nContent-Length: 4\r\n\r\noops",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(id string, request int) []string {
				switch {
				case request == 1:
					return []string{refusal}
				case id != "x":
					return []string{stream(id, 1, 1) + lastChunk}
				}
				return []string{stream("x", 1, 3) + lastChunk}
			})
			e.repeat = []string{refusal}
			f := New(dialect{}, wharfhttpconn.NewPool())
			first := do(t, f, exchange(e, "x"), &recordingSink{})
			assert.Assert(t, first.Outcome != 0)
			other, sink := do(t, f, exchange(e, "y"), &recordingSink{}), &recordingSink{}
			assert.Equal(t, other.Outcome, wharfoutcome.Outcome(0), "the connection is still of use for other requests: %v", other.Err)
			second := do(t, f, exchange(e, "x"), sink)
			assert.Equal(t, second.Outcome, wharfoutcome.Outcome(0), "%v", second.Err)
			assert.Equal(t, sink.text.String(), event(1)+event(2)+event(3))
			assert.Equal(t, e.conns, 2)
		})
	}
}

// TestRequestThatCannotBeWrittenIsNoFaultOfTheEndpoint guards against endpoints that get no more requests because one, such as
// that of an organisation with a line end in its name, can't be sent.
func TestRequestThatCannotBeWrittenIsNoFaultOfTheEndpoint(t *testing.T) {
	e := newEndpoint(t, func(id string, _ int) []string { return []string{stream(id, 1, 1) + lastChunk} })
	result := do(t, New(dialect{}, wharfhttpconn.NewPool()), exchange(e, "x\ny"), &recordingSink{})
	assert.Assert(t, errors.Is(result.Err, wharfhttpconn.ErrInvalidRequest), "%v", result.Err)
	assert.Assert(t, result.Outcome.NotRun() && !result.Outcome.EndpointFault(), "%v", result.Outcome)
	assert.Equal(t, len(e.requests), 0)
}

// TestWithdrawnRequestIsNotSent guards against a request that is sent to an endpoint which ceased to get requests while the
// connection was opened, and against such a request being held against the endpoint or taken for one that may have run.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	e := newEndpoint(t, func(id string, _ int) []string { return []string{stream(id, 1, 1) + lastChunk} })
	f, x := New(dialect{}, wharfhttpconn.NewPool()), exchange(e, "x")
	allowed := false
	x.MaySend = func() bool { return allowed }
	result := do(t, f, x, &recordingSink{})
	assert.Equal(t, result.Outcome, wharfoutcome.Declined, "%v", result.Err)
	assert.Assert(t, result.Outcome.NotRun() && !result.Outcome.EndpointFault())
	allowed = true
	assert.Equal(t, do(t, f, x, &recordingSink{}).Outcome, wharfoutcome.Outcome(0))
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.DeepEqual(t, e.requests, []string{"x"})
}

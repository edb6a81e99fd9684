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

// dialect has the few names that these tests need; what they leave out is never called.
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
	}
}

// endpoint answers each request on a connection with what its script says; "close" and "reset" end the connection.
type endpoint struct {
	t        *testing.T
	address  netip.AddrPort
	mu       sync.Mutex
	requests []string // their ids
	bodies   []string
	conns    int
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
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		e.mu.Lock()
		e.requests = append(e.requests, id)
		count := len(e.requests)
		e.mu.Unlock()
		parts := answer(id, count)
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
			default:
				if _, err := io.WriteString(conn, part); err != nil {
					return
				}
			}
		}
	}
}

func head(id, rest string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + rest + "\r\n"
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

// recipient keeps what it is given.
type recipient struct {
	status int
	text   strings.Builder
	begun  int
}

func (r *recipient) WriteHeader(status int, _ http.Header) error {
	r.status = status
	r.begun++
	return nil
}

func (r *recipient) WriteEvent(e wharfframes.Event, _ bool) error {
	r.text.Write(e.Raw)
	return nil
}

func (r *recipient) WriteBody(data []byte) error {
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

func do(t *testing.T, f *Forwarder, x *Exchange, to ResponseSink) Outcome {
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
		verdict wharfoutcome.Outcome
		text    string
	}{
		{"whole stream", []string{whole}, 0, event(1) + event(2) + event(3)},
		{"stream in pieces", []string{stream("x", 1, 2), chunk("id: 3\n"), chunk("data: 3\n\n"), lastChunk}, 0, event(1) + event(2) + event(3)},
		{"stream without a length", []string{head("x", "") + event(1), "close"}, 0, event(1)},
		{"stream without a length that is cut inside an event", []string{head("x", "") + event(1) + "id: 2", "close"}, wharfoutcome.ConnectionLost, event(1)},
		{"stream without a length that is reset", []string{head("x", "") + event(1), "reset"}, wharfoutcome.ConnectionLost, ""},
		{"chunked stream that ends early", []string{stream("x", 1, 2), "close"}, wharfoutcome.ConnectionLost, event(1) + event(2)},
		{"chunked stream that ends inside an event", []string{stream("x", 1, 1) + chunk("id: 2\nda") + lastChunk}, wharfoutcome.ConnectionLost, event(1)},
		{"missing event", []string{stream("x", 1, 1) + chunk(event(3)) + lastChunk}, wharfoutcome.Malformed, event(1)},
		{"event twice", []string{stream("x", 1, 1) + chunk(event(1)) + lastChunk}, wharfoutcome.Malformed, event(1)},
		{"answer to another request first", []string{stream("old", 5, 6) + lastChunk + whole}, 0, event(1) + event(2) + event(3)},
		{"answer to another request only", []string{stream("old", 5, 6) + lastChunk, "close"}, wharfoutcome.ConnectionLost, ""},
		{"success that names no request", []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}, wharfoutcome.Malformed, ""},
		{"bytes that are no answer", []string{"\x00\x01\x02 nonsense\r\n\r\n"}, wharfoutcome.Malformed, ""},
		{"closed without an answer", []string{"close"}, wharfoutcome.ConnectionLost, ""},
		{"silence", []string{"silence", "close"}, wharfoutcome.TimedOut, ""},
		{"silence within the stream", []string{stream("x", 1, 1), "silence", "close"}, wharfoutcome.TimedOut, event(1)},
		{"declined", []string{"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"}, wharfoutcome.Declined, ""},
		{"misplaced", []string{"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"}, wharfoutcome.WrongEndpoint, ""},
		{"failed", []string{"HTTP/1.1 500 X\r\nId: x\r\nContent-Length: 4\r\n\r\noops"}, wharfoutcome.Failed, ""},
		{"refusal of the endpoint's own is passed on", []string{"HTTP/1.1 422 X\r\nId: x\r\nContent-Length: 2\r\n\r\nno"}, 0, "no"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, func(string, int) []string { return c.answer })
			f := New(dialect{}, wharfhttpconn.NewPool())
			to := &recipient{}
			outcome := do(t, f, exchange(e, "x"), to)
			assert.Equal(t, outcome.Verdict, c.verdict, "%v", outcome.Err)
			if c.text != "" {
				assert.Equal(t, to.text.String(), c.text)
			}
		})
	}
}

func TestUnreachableEndpointIsNotSentTo(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &endpoint{address: netip.MustParseAddrPort(listener.Addr().String())}
	assert.NilError(t, listener.Close())
	outcome := do(t, New(dialect{}, wharfhttpconn.NewPool()), exchange(e, "x"), &recipient{})
	assert.Equal(t, outcome.Verdict, wharfoutcome.NotSent)
}

func TestConnectionIsUsedAgainAndLateAnswersBelongToNobody(t *testing.T) {
	e := newEndpoint(t, func(id string, request int) []string {
		answer := []string{stream(id, 1, 2) + lastChunk}
		if request == 1 {
			// The second answer to the first request comes where that to the second is due.
			return append(answer, "silence")
		}
		return append([]string{stream("x1", 1, 2) + lastChunk}, answer...)
	})
	f := New(dialect{}, wharfhttpconn.NewPool())
	for i := 1; i <= 3; i++ {
		x := exchange(e, fmt.Sprint("x", i))
		x.FirstEventTimeout = 2 * time.Second
		outcome := do(t, f, x, &recipient{})
		assert.Equal(t, outcome.Verdict, wharfoutcome.Outcome(0), "%v", outcome.Err)
	}
	assert.Equal(t, e.conns, 1)
}

func TestConnectionWithLeftOverBytesIsNotUsedAgain(t *testing.T) {
	e := newEndpoint(t, func(id string, _ int) []string {
		return []string{stream(id, 1, 2) + lastChunk + stream(id, 1, 2) + lastChunk}
	})
	f := New(dialect{}, wharfhttpconn.NewPool())
	for i := range 3 {
		to := &recipient{}
		outcome := do(t, f, exchange(e, fmt.Sprint("x", i)), to)
		assert.Equal(t, outcome.Verdict, wharfoutcome.Outcome(0))
		assert.Equal(t, to.text.String(), event(1)+event(2))
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, e.conns, 3)
}

func TestResumedStreamGoesOnAfterTheLastEvent(t *testing.T) {
	e := newEndpoint(t, func(id string, _ int) []string { return []string{stream(id, 4, 6) + lastChunk} })
	f := New(dialect{}, wharfhttpconn.NewPool())
	x := exchange(e, "x")
	x.Attempt = wharfcall.Attempt{Resumes: true, LastEvent: 3}
	x.HeaderWritten = true
	to := &recipient{}
	outcome := do(t, f, x, to)
	assert.Equal(t, outcome.Verdict, wharfoutcome.Outcome(0))
	assert.Equal(t, to.text.String(), event(4)+event(5)+event(6))
	assert.Equal(t, to.begun, 0, "the recipient has its header already")
	x = exchange(e, "y")
	x.Attempt = wharfcall.Attempt{Resumes: true, LastEvent: 1}
	outcome = do(t, f, x, &recipient{})
	assert.Equal(t, outcome.Verdict, wharfoutcome.Malformed, "events are missing")
}

// TestEarlyAnswerToALongBody: the rest of the body must not be followed by another request on the connection.
func TestEarlyAnswerToALongBody(t *testing.T) {
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
	outcome := do(t, f, x, &recipient{})
	assert.Equal(t, outcome.Verdict, wharfoutcome.Outcome(0), "%v", outcome.Err)
	x = exchange(e, "x2")
	x.Streaming = false
	assert.Equal(t, do(t, f, x, &recipient{}).Verdict, wharfoutcome.Outcome(0))
	assert.Equal(t, e.conns, 2)
	assert.Equal(t, e.bodies[len(e.bodies)-1], "body")
}

func TestCallerThatLeavesEndsTheEndpointsWork(t *testing.T) {
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
	time.AfterFunc(100*time.Millisecond, func() { cancel(errors.New("caller left")) })
	x := exchange(&endpoint{address: netip.MustParseAddrPort(listener.Addr().String())}, "x")
	x.IdleTimeout = 5 * time.Second
	outcome := New(dialect{}, wharfhttpconn.NewPool()).Do(ctx, x, &recipient{})
	assert.Equal(t, outcome.Verdict, wharfoutcome.CallerGone)
	select {
	case <-gone:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the endpoint still works")
	}
}

func TestSilentEndpointIsDoubtedUntilItAnswers(t *testing.T) {
	e := newEndpoint(t, func(id string, _ int) []string { return []string{"silence", stream(id, 1, 2) + lastChunk} })
	var doubts []bool
	x := exchange(e, "x")
	x.FirstEventTimeout = 3 * time.Second
	x.SuspectAfter = 200 * time.Millisecond
	x.OnSuspect = func(silent bool) { doubts = append(doubts, silent) }
	assert.Equal(t, do(t, New(dialect{}, wharfhttpconn.NewPool()), x, &recipient{}).Verdict, wharfoutcome.Outcome(0))
	assert.DeepEqual(t, doubts, []bool{true, false})
}

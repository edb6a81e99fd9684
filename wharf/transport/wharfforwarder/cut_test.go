package wharfforwarder

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/transport/wharfhttpconn"
)

// cutAnswer is an answer that tests cut short.
type cutAnswer struct {
	head, body string
	streaming  bool
	untilClose bool // the end of the connection ends the body
}

const (
	cutID   = "x"
	interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	plain   = "twelve bytes"
	trailer = "0\r\nA: b\r\n\r\n"
)

func cutAnswers() map[string]cutAnswer {
	events := event(1) + event(2)
	chunked := head(cutID, "Transfer-Encoding: chunked\r\n")
	length := func(body string) string { return head(cutID, fmt.Sprintf("Content-Length: %d\r\n", len(body))) }
	return map[string]cutAnswer{
		"chunked stream":                             {head: chunked, body: chunk(event(1)) + chunk(event(2)) + lastChunk, streaming: true},
		"chunked stream with a trailer":              {head: chunked, body: chunk(event(1)) + chunk(event(2)) + trailer, streaming: true},
		"chunked stream after interim answers":       {head: interim + interim + chunked, body: chunk(events) + lastChunk, streaming: true},
		"stream with a length":                       {head: length(events), body: events, streaming: true},
		"stream until close":                         {head: head(cutID, ""), body: events, streaming: true, untilClose: true},
		"body with a length":                         {head: length(plain), body: plain},
		"body with a length after an interim answer": {head: interim + length(plain), body: plain},
		"chunked body":                               {head: chunked, body: chunk("twelve ") + chunk("bytes") + lastChunk},
		"chunked body with trailer":                  {head: chunked, body: chunk(plain) + trailer},
		"empty chunked body":                         {head: chunked, body: lastChunk},
		"body until close":                           {head: head(cutID, ""), body: plain, untilClose: true},
		"failure with a length": {
			head: "HTTP/1.1 422 X\r\nId: x\r\nContent-Length: 12\r\n\r\n", body: plain, streaming: true,
		},
	}
}

// endsWhole reports whether an answer that is cut after a number of bytes can't be told from a whole one: where the end of the
// connection ends the body, after each event and each byte of another body.
func (c *cutAnswer) endsWhole(bytes int) bool {
	body := bytes - len(c.head)
	if !c.untilClose || body <= 0 {
		return false
	}
	return !c.streaming || body%len(event(1)) == 0
}

// doPatiently makes an exchange with the time that a busy machine takes, and again if it could not connect in time. The endpoint
// ends each connection.
func doPatiently(t *testing.T, f *Forwarder, x *Exchange, sink ResponseSink) Result {
	t.Helper()
	x.FirstEventTimeout, x.IdleTimeout = 4*time.Second, 4*time.Second
	for {
		if result := do(t, f, x, sink); result.Outcome != wharfoutcome.NotSent {
			return result
		}
	}
}

// cutEndpoint answers requests with cutID with the first bytes of an answer and then ends the connection.
type cutEndpoint struct {
	*endpoint
	cut atomic.Int64
}

func newCutEndpoint(t *testing.T, whole, end string) *cutEndpoint {
	t.Helper()
	e := &cutEndpoint{}
	e.endpoint = newEndpoint(t, func(id string, _ int) []string {
		if id == cutID {
			return []string{whole[:e.cut.Load()], end}
		}
		return []string{stream(id, 1, 1) + lastChunk}
	})
	return e
}

// play returns what becomes of an answer that is cut after some bytes, on a new connection or on one that has carried another.
func (e *cutEndpoint) play(t *testing.T, streaming, kept bool, bytes int) (Result, *recordingSink) {
	t.Helper()
	e.cut.Store(int64(bytes))
	f := New(dialect{}, wharfhttpconn.NewPool())
	if kept {
		assert.Equal(t, doPatiently(t, f, exchange(e.endpoint, "before"), &recordingSink{}).Outcome, wharfoutcome.Outcome(0))
	}
	x, sink := exchange(e.endpoint, cutID), &recordingSink{}
	x.Streaming = streaming
	return doPatiently(t, f, x, sink), sink
}

// TestAnswersCutAtEveryByte guards against an answer that ends early and is taken for whole: an endpoint stops after any byte of
// an answer's head or body and closes or resets the connection, a new one or one that has carried another answer.
func TestAnswersCutAtEveryByte(t *testing.T) {
	for name, c := range cutAnswers() {
		for _, end := range []string{"close", "reset"} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, kept connection %t", name, end, kept), func(t *testing.T) {
					t.Parallel()
					c.assertNoneWhole(t, end, kept)
				})
			}
		}
	}
}

// assertNoneWhole checks that no answer that is cut short is taken for whole, and that no part of a head is forwarded.
func (c *cutAnswer) assertNoneWhole(t *testing.T, end string, kept bool) {
	t.Helper()
	whole := c.head + c.body
	e := newCutEndpoint(t, whole, end)
	for i := range len(whole) {
		result, sink := e.play(t, c.streaming, kept, i)
		if end == "close" && c.endsWhole(i) {
			continue
		}
		assert.Assert(t, result.Outcome != 0, "%q is taken for whole, with %q", whole[:i], sink.text.String())
		assert.Assert(t, i >= len(c.head) || sink.headers == 0, "the head %q is forwarded", whole[:i])
	}
}

package wharfforwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/protocol/wharfframes"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/transport/wharfhttpconn"
)

// slowSink takes events as a caller does that reads slowly.
type slowSink struct {
	recordingSink
}

func (s *slowSink) WriteEvent(e wharfframes.Event, more bool) error {
	time.Sleep(100 * time.Millisecond)
	return s.recordingSink.WriteEvent(e, more)
}

// TestEventSpanIsThatOfTheEndpoint guards against endpoints that count as slow because of a caller that reads slowly, or as
// anything because of answers that are malformed, and against time before the first event that counts as time between events.
func TestEventSpanIsThatOfTheEndpoint(t *testing.T) {
	rest := chunk(event(3)) + lastChunk
	for name, c := range map[string]struct {
		answer   []string
		sink     ResponseSink
		outcome  wharfoutcome.Outcome
		min, max time.Duration
	}{
		"pause within":     {[]string{stream("x", 1, 2), "silence", rest}, &recordingSink{}, 0, 900 * time.Millisecond, 4 * time.Second},
		"pause before":     {[]string{head("x", "Transfer-Encoding: chunked\r\n"), "silence", chunk(event(1)) + chunk(event(2)) + rest}, &recordingSink{}, 0, 0, 900 * time.Millisecond},
		"one event":        {[]string{stream("x", 1, 1) + lastChunk}, &recordingSink{}, 0, 0, 0},
		"slow caller":      {[]string{stream("x", 1, 2), "silence", rest}, &slowSink{}, 0, 0, 0},
		"events reordered": {[]string{stream("x", 1, 2), "silence", chunk(event(5)) + lastChunk}, &recordingSink{}, wharfoutcome.Malformed, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(string, int) []string { return c.answer })
			x := exchange(e, "x")
			x.FirstEventTimeout, x.IdleTimeout = 4*time.Second, 4*time.Second
			result := do(t, New(dialect{}, wharfhttpconn.NewPool()), x, c.sink)
			assert.Equal(t, result.Outcome, c.outcome, "%v", result.Err)
			assert.Assert(t, result.EventSpan >= c.min && result.EventSpan <= c.max, "%v", result.EventSpan)
		})
	}
}

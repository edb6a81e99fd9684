package wharfforwarder

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/transport/wharfhttpconn"
)

// lateSink takes a while for each part, so that the connection ends while a part is forwarded.
type lateSink struct {
	recordingSink
}

func (s *lateSink) WriteBody(data []byte) error {
	err := s.recordingSink.WriteBody(data)
	time.Sleep(50 * time.Millisecond)
	return err
}

// TestResetDuringUploadIsNoEnd guards against a part of an answer that is taken for whole: an endpoint answers a long upload at once,
// without a length, and resets the connection. The write of the upload takes the error, and the reader finds an ordinary end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	failure := "HTTP/1.1 %d X\r\nId: x\r\nSigned: yes\r\n\r\n"
	for name, c := range map[string]struct {
		answer    string
		streaming bool
	}{
		"body":             {answer: head("x", "") + "a part of"},
		"stream":           {answer: head("x", "") + event(1), streaming: true},
		"refusal":          {answer: fmt.Sprintf(failure, 422) + "a part of"},
		"server error":     {answer: fmt.Sprintf(failure, 500) + "a part of"},
		"old HTTP version": {answer: "HTTP/1.0 200 OK\r\nId: x\r\nSigned: yes\r\n\r\na part of"},
	} {
		for _, end := range []string{"reset", "close"} {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				e := newEndpoint(t, func(string, int) []string { return []string{"early", c.answer, "short silence", end} })
				for range 20 {
					x := exchange(e, "x")
					x.Streaming, x.Call.Body = c.streaming, make([]byte, 8<<20)
					result := doPatiently(t, New(dialect{}, wharfhttpconn.NewPool()), x, &lateSink{})
					assert.Equal(t, result.Outcome, wharfoutcome.ConnectionLost, "%v", result.Err)
					assert.Assert(t, result.ErrorResponse == nil, "a part of a failure's body is no response")
				}
			})
		}
	}
}

// TestUploadReadAfterTheAnswer checks that an answer without a length is whole if the endpoint reads the upload after it, and that an
// endpoint which does not is not waited for without end.
func TestUploadReadAfterTheAnswer(t *testing.T) {
	for name, whole := range map[string]bool{"read": true, "stall": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, func(string, int) []string { return []string{"early", head("x", "") + "answer", "end answer", name} })
			x, sink := exchange(e, "x"), &recordingSink{}
			x.Streaming, x.Call.Body = false, make([]byte, 8<<20)
			result := doPatiently(t, New(dialect{}, wharfhttpconn.NewPool()), x, sink)
			assert.Equal(t, result.Outcome == 0, whole, "%v", result.Err)
			assert.Equal(t, sink.text.String(), "answer")
		})
	}
}

// TestImpossibleStatusIsNoAnswer guards against a status that is none, which a caller would get or which would pass for an interim
// answer whose body is then read as the next one.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "101", "600", "999", "-01"} {
		for _, streaming := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, streaming %t", status, streaming), func(t *testing.T) {
				t.Parallel()
				smuggled := head("x", "Content-Length: 8\r\n") + "smuggled"
				e := newEndpoint(t, func(string, int) []string {
					return []string{fmt.Sprintf("HTTP/1.1 %s X\r\nId: x\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", status, len(smuggled), smuggled)}
				})
				x, sink := exchange(e, "x"), &recordingSink{}
				x.Streaming = streaming
				result := doPatiently(t, New(dialect{}, wharfhttpconn.NewPool()), x, sink)
				assert.Equal(t, result.Outcome, wharfoutcome.Malformed, "%v", result.Err)
				assert.Assert(t, errors.Is(result.Err, wharfhttpconn.ErrMalformed), "%v", result.Err)
				assert.Equal(t, sink.headers, 0)
			})
		}
	}
}

package wharfbody

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefusalsAreReadable guards against refusals that are lost when a connection is closed with unread data, for callers that
// send their whole body before they read, and against connections that are closed after a short body.
func TestRefusalsAreReadable(t *testing.T) {
	b, _ := newReader()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		settled := b.Settle(w, r)
		w.WriteHeader(http.StatusUnauthorized)
		if !settled {
			b.Linger(w, r)
		}
	}))
	defer server.Close()
	for _, c := range []struct {
		name            string
		announced, sent int
		closes          bool
	}{
		{"none", 0, 0, false},
		{"short", 1000, 1000, false},
		{"long", 3 << 20, 3 << 20, true},
		{"short of its end", 1000, 999, true},
		{"far too long", 1 << 30, 1 << 16, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", c.announced)
			assert.NilError(t, err)
			_, err = conn.Write(make([]byte, c.sent))
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
			assert.Equal(t, response.Close, c.closes)
			if c.closes {
				_, err = io.Copy(io.Discard, reader)
				assert.NilError(t, err)
			}
		})
	}
}

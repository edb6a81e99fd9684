package wharfhttpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzSend guards against a request that an endpoint reads as several, or as another: what was written, read by net/http, is
// exactly one request with what was to be sent.
func FuzzSend(f *testing.F) {
	f.Add("POST", "/p?q=1", "h.example", "X-Any", "value", "body")
	f.Add("POST", "/p HTTP/1.1\r\nHost: h\r\n\r\nGET /evil", "h", "A", "b", "")
	f.Add("GET /evil HTTP/1.1\r\n\r\nGET", "/", "h\r\nTenant: a", "X\r\nTenant", "a\r\nTenant: b\r\n\r\nGET /evil HTTP/1.1", "x")
	f.Fuzz(func(t *testing.T, method, target, host, name, value, body string) {
		switch http.CanonicalHeaderKey(name) {
		case "Content-Length", "Transfer-Encoding", "Host", "Trailer", "Connection":
			return // the dialect leaves these out
		}
		ours, theirs := net.Pipe()
		defer func() { _ = theirs.Close() }()
		request := Request{Method: method, Target: target, Host: host, Header: http.Header{name: {value}}, Body: []byte(body)}
		if !request.valid() {
			assert.Assert(t, errors.Is((&Conn{}).Send(&request), ErrInvalidRequest), "it is not written")
			return
		}
		go func() {
			_, _ = ours.Write(append(request.head(), request.Body...))
			_ = ours.Close()
		}()
		reader := bufio.NewReader(theirs)
		read, err := http.ReadRequest(reader)
		assert.NilError(t, err)
		received, err := io.ReadAll(read.Body)
		assert.NilError(t, err)
		assert.Equal(t, read.Method, method)
		assert.Equal(t, read.RequestURI, target)
		assert.Equal(t, read.Host, host)
		assert.Equal(t, string(received), body)
		assert.Assert(t, len(read.Header) <= 2, "%v", read.Header)
		_, err = http.ReadRequest(reader)
		assert.Assert(t, errors.Is(err, io.EOF), "more than one request: %v", err)
	})
}

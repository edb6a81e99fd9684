package wharfendpointclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfconfig"
)

// serveRaw answers each connection's first request with the text that answer returns and closes the connection.
func serveRaw(t *testing.T, answer func() string) wharfconfig.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, answer())
				}
			}()
		}
	}()
	return wharfconfig.Endpoint{Name: "e", URL: "http://" + listener.Addr().String()}
}

// read sends a request and reads the whole response.
func read(t *testing.T, endpoint wharfconfig.Endpoint) ([]byte, error) {
	t.Helper()
	response, err := New().Send(context.Background(), Request{
		Endpoint: endpoint, Method: http.MethodGet, Path: "/", RequestID: "x", NewConnection: true,
		FirstByteTimeout: time.Second, IdleTimeout: time.Second,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

// TestResponsesCutAtEveryByte guards against a response that ends early and is taken for whole.
func TestResponsesCutAtEveryByte(t *testing.T) {
	for name, whole := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\ntwelve bytes",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\ntwelve \r\n5\r\nbytes\r\n0\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\ntwelve bytes",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var cut atomic.Int64
			endpoint := serveRaw(t, func() string { return whole[:cut.Load()] })
			for i := range len(whole) + 1 {
				cut.Store(int64(i))
				data, err := read(t, endpoint)
				assert.Equal(t, err == nil, i == len(whole), "%q: %q", whole[:i], data)
			}
		})
	}
}

// TestEncodedResponseIsRejected guards against encoded bytes that are forwarded without their encoding.
func TestEncodedResponseIsRejected(t *testing.T) {
	for encoding, rejected := range map[string]bool{"gzip": true, "br": true, "identity": false} {
		endpoint := serveRaw(t, func() string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: %s\r\nContent-Length: 2\r\n\r\nok", encoding)
		})
		_, err := read(t, endpoint)
		assert.Equal(t, errors.Is(err, ErrEncoded), rejected, "%s: %v", encoding, err)
	}
}

// TestResetDuringUploadIsNoEnd guards against a part of a response that is taken for whole: an endpoint responds to a long upload at
// once, without a length, and resets the connection.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part of")
				}
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	endpoint := wharfconfig.Endpoint{Name: "e", URL: "http://" + listener.Addr().String()}
	for range 100 {
		response, err := New().Send(context.Background(), Request{
			Endpoint: endpoint, Method: http.MethodPost, Path: "/", RequestID: "x", NewConnection: true, Body: make([]byte, 8<<20),
			FirstByteTimeout: 4 * time.Second, IdleTimeout: 4 * time.Second,
		})
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrConnectionBroken), "%v", err)
			continue
		}
		data, err := io.ReadAll(response.Body)
		assert.Assert(t, errors.Is(err, ErrConnectionBroken), "%v after %q", err, data)
		assert.NilError(t, response.Body.Close())
	}
}

// TestImpossibleStatusIsRejected guards against a status that is none, with which a batch item is completed and a caller gets no
// answer.
func TestImpossibleStatusIsRejected(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		endpoint := serveRaw(t, func() string { return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nno" })
		data, err := read(t, endpoint)
		assert.Assert(t, errors.Is(err, ErrInvalidStatus), "%s: %v after %q", status, err, data)
	}
}

package wharfhttpconn

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
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testTimeout   = 5 * time.Second
	testKeepAlive = time.Minute
)

// server responds to requests on raw connections as a test specifies.
type server struct {
	address  netip.AddrPort
	accepted atomic.Int32
}

// startServer calls serve for each connection; the connection ends when serve returns.
func startServer(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

// startServing responds to every request with a text.
func startServing(t *testing.T, text string) *server {
	t.Helper()
	return startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for respond(conn, reader, text) {
			continue
		}
	})
}

// respond reads a request and writes a text; it reports whether the connection remains usable.
func respond(conn net.Conn, reader *bufio.Reader, text string) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	_, err = io.WriteString(conn, text)
	return err == nil
}

const plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// exchange sends a request over a connection from the pool and returns the connection.
func exchange(t *testing.T, p *Pool, address netip.AddrPort) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), address, "", false)
	assert.NilError(t, err)
	assert.NilError(t, c.Send(&Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("body")}))
	response, err := c.Receive("POST", testTimeout, func(*http.Response) bool { return true })
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	p.Put(c, response, testKeepAlive)
	return c
}

func TestConnectionsAreReused(t *testing.T) {
	endpoint := startServing(t, plain)
	p := NewPool()
	defer p.Close()
	assert.Assert(t, !p.HasIdle(endpoint.address))
	assert.Assert(t, !exchange(t, p, endpoint.address).Reused)
	assert.Assert(t, p.HasIdle(endpoint.address))
	assert.Assert(t, exchange(t, p, endpoint.address).Reused)
	assert.Equal(t, p.Dialed.Load(), int64(1))
	p.CloseIdle(endpoint.address)
	assert.Assert(t, !p.HasIdle(endpoint.address))
	assert.Assert(t, !exchange(t, p, endpoint.address).Reused)
	assert.Equal(t, endpoint.accepted.Load(), int32(2))
}

func TestUnsafeConnectionsAreNotReused(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"endpoint announces the close", strings.Replace(plain, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)},
		{"unsolicited bytes", plain + "HTTP/1.1 200 OK\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoint := startServing(t, c.text)
			p := NewPool()
			defer p.Close()
			exchange(t, p, endpoint.address)
			assert.Assert(t, !exchange(t, p, endpoint.address).Reused)
		})
	}
}

func TestConnectionClosedByEndpointIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 2)
	endpoint := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		respond(conn, reader, plain)
		_ = conn.Close()
		closed <- struct{}{}
	})
	p := NewPool()
	defer p.Close()
	exchange(t, p, endpoint.address)
	<-closed
	assert.Assert(t, !exchange(t, p, endpoint.address).Reused)
}

func TestStaleConnectionsAreNotUsedForNonRepeatableRequests(t *testing.T) {
	endpoint := startServing(t, plain)
	p := NewPool()
	defer p.Close()
	c := exchange(t, p, endpoint.address)
	c.idleSince = time.Now().Add(-2 * nonRepeatableMaxIdle)
	nonRepeatable, err := p.Get(context.Background(), endpoint.address, "", true)
	assert.NilError(t, err)
	assert.Assert(t, !nonRepeatable.Reused)
	nonRepeatable.Close()
	repeatable, err := p.Get(context.Background(), endpoint.address, "", false)
	assert.NilError(t, err)
	assert.Assert(t, repeatable.Reused)
	repeatable.Close()
}

func TestExpiredConnectionsAreClosed(t *testing.T) {
	endpoint := startServing(t, plain)
	p := NewPool()
	defer p.Close()
	c := exchange(t, p, endpoint.address)
	c.idleSince = time.Now().Add(-testKeepAlive)
	assert.Assert(t, !p.HasIdle(endpoint.address))
	p.lastSweep = time.Now().Add(-2 * sweepPeriod)
	assert.Assert(t, !exchange(t, p, endpoint.address).Reused)
}

func TestErrorClassification(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		wait time.Duration
		err  error
	}{
		{"response that ends within its header", "HTTP/1.1 200 OK\r\n", testTimeout, ErrConnectionBroken},
		{"no response", "", testTimeout, ErrConnectionBroken},
		{"response that ends within a header line", "HTTP/1.1 200 OK\r\nConte", testTimeout, ErrMalformed},
		{"not HTTP", "220 ready\r\n\r\n", testTimeout, ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoint := startServer(t, func(conn net.Conn, reader *bufio.Reader) { respond(conn, reader, c.text) })
			assert.ErrorIs(t, exchangeError(t, endpoint.address, c.wait), c.err)
		})
	}
	silent := startServer(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = io.Copy(io.Discard, reader) })
	assert.ErrorIs(t, exchangeError(t, silent.address, 50*time.Millisecond), ErrIdleTimeout)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	_, err = NewPool().Get(context.Background(), unreachable, "", false)
	assert.ErrorIs(t, err, ErrNotSent)
}

// exchangeError sends a request and returns the error.
func exchangeError(t *testing.T, address netip.AddrPort, wait time.Duration) error {
	t.Helper()
	p := NewPool()
	defer p.Close()
	c, err := p.Get(context.Background(), address, "", false)
	assert.NilError(t, err)
	defer c.Close()
	if err := c.Send(&Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}); err != nil {
		return err
	}
	_, err = c.Receive("POST", wait, func(*http.Response) bool { return true })
	return err
}

func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	late := strings.Replace(plain, "\r\n\r\n", "\r\nX-For: another\r\n\r\n", 1)
	mine := strings.Replace(plain, "\r\n\r\n", "\r\nX-For: mine\r\n\r\n", 1)
	accept := func(r *http.Response) bool { return r.Header.Get("X-For") == "mine" }
	for others := range maxSkippedResponses + 2 {
		t.Run(fmt.Sprint(others, " others"), func(t *testing.T) {
			endpoint := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
				respond(conn, reader, strings.Repeat(late, others)+mine)
				_, _ = io.Copy(io.Discard, reader)
			})
			p := NewPool()
			defer p.Close()
			c, err := p.Get(context.Background(), endpoint.address, "", false)
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.Send(&Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}}))
			response, err := c.Receive("GET", testTimeout, accept)
			if others > maxSkippedResponses {
				assert.Assert(t, errors.Is(err, ErrMalformed))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, response.Header.Get("X-For"), "mine")
		})
	}
}

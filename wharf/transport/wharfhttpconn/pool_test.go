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
	limit = 5 * time.Second
	keep  = time.Minute
)

// peer answers requests on raw connections as a test says.
type peer struct {
	address  netip.AddrPort
	accepted atomic.Int32
}

// startPeer calls serve for each connection; the connection ends when serve returns.
func startPeer(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &peer{address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return p
}

// startAnswering answers every request with a text.
func startAnswering(t *testing.T, text string) *peer {
	t.Helper()
	return startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		for answer(conn, reader, text) {
			continue
		}
	})
}

// answer reads a request and writes a text; it reports whether the connection goes on.
func answer(conn net.Conn, reader *bufio.Reader, text string) bool {
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

// exchange sends a request over a connection of the pool and gives the connection back.
func exchange(t *testing.T, p *Pool, address netip.AddrPort) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), address, false)
	assert.NilError(t, err)
	assert.NilError(t, c.Send(&Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("body")}))
	response, err := c.Receive("POST", limit, func(*http.Response) bool { return true })
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	p.Put(c, response, keep)
	return c
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	peer := startAnswering(t, plain)
	p := NewPool()
	defer p.Close()
	assert.Assert(t, !p.HasIdle(peer.address))
	assert.Assert(t, !exchange(t, p, peer.address).Reused)
	assert.Assert(t, p.HasIdle(peer.address))
	assert.Assert(t, exchange(t, p, peer.address).Reused)
	assert.Equal(t, p.Dialed.Load(), int64(1))
	p.CloseIdle(peer.address)
	assert.Assert(t, !p.HasIdle(peer.address))
	assert.Assert(t, !exchange(t, p, peer.address).Reused)
	assert.Equal(t, peer.accepted.Load(), int32(2))
}

func TestConnectionsThatCanNotBeTrustedAreNotUsedAgain(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"the endpoint says that it closes", strings.Replace(plain, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)},
		{"bytes that nobody asked for", plain + "HTTP/1.1 200 OK\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer := startAnswering(t, c.text)
			p := NewPool()
			defer p.Close()
			exchange(t, p, peer.address)
			assert.Assert(t, !exchange(t, p, peer.address).Reused)
		})
	}
}

func TestConnectionThatTheEndpointHasClosedIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 2)
	peer := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		answer(conn, reader, plain)
		_ = conn.Close()
		closed <- struct{}{}
	})
	p := NewPool()
	defer p.Close()
	exchange(t, p, peer.address)
	<-closed
	assert.Assert(t, !exchange(t, p, peer.address).Reused)
}

func TestOldConnectionsCarryNoRequestsThatMayNotBeRepeated(t *testing.T) {
	peer := startAnswering(t, plain)
	p := NewPool()
	defer p.Close()
	c := exchange(t, p, peer.address)
	c.idleFrom = time.Now().Add(-2 * onceIdle)
	once, err := p.Get(context.Background(), peer.address, true)
	assert.NilError(t, err)
	assert.Assert(t, !once.Reused)
	once.Close()
	again, err := p.Get(context.Background(), peer.address, false)
	assert.NilError(t, err)
	assert.Assert(t, again.Reused)
	again.Close()
}

func TestConnectionsPastTheirTimeAreClosed(t *testing.T) {
	peer := startAnswering(t, plain)
	p := NewPool()
	defer p.Close()
	c := exchange(t, p, peer.address)
	c.idleFrom = time.Now().Add(-keep)
	assert.Assert(t, !p.HasIdle(peer.address))
	p.swept = time.Now().Add(-2 * sweepPeriod)
	assert.Assert(t, !exchange(t, p, peer.address).Reused)
}

func TestFailuresAreToldApart(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		wait time.Duration
		err  error
	}{
		{"an answer that ends in its header", "HTTP/1.1 200 OK\r\n", limit, ErrConnectionBroken},
		{"no answer", "", limit, ErrConnectionBroken},
		{"an answer that ends within a line of its header", "HTTP/1.1 200 OK\r\nConte", limit, ErrMalformed},
		{"no HTTP", "220 ready\r\n\r\n", limit, ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer := startPeer(t, func(conn net.Conn, reader *bufio.Reader) { answer(conn, reader, c.text) })
			assert.ErrorIs(t, failure(t, peer.address, c.wait), c.err)
		})
	}
	silent := startPeer(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = io.Copy(io.Discard, reader) })
	assert.ErrorIs(t, failure(t, silent.address, 50*time.Millisecond), ErrIdleTimeout)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nobody := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	_, err = NewPool().Get(context.Background(), nobody, false)
	assert.ErrorIs(t, err, ErrNotSent)
}

// failure returns how an exchange fails.
func failure(t *testing.T, address netip.AddrPort, wait time.Duration) error {
	t.Helper()
	p := NewPool()
	defer p.Close()
	c, err := p.Get(context.Background(), address, false)
	assert.NilError(t, err)
	defer c.Close()
	if err := c.Send(&Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}); err != nil {
		return err
	}
	_, err = c.Receive("POST", wait, func(*http.Response) bool { return true })
	return err
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	late := strings.Replace(plain, "\r\n\r\n", "\r\nX-For: another\r\n\r\n", 1)
	mine := strings.Replace(plain, "\r\n\r\n", "\r\nX-For: mine\r\n\r\n", 1)
	accept := func(r *http.Response) bool { return r.Header.Get("X-For") == "mine" }
	for others := range maxForeign + 2 {
		t.Run(fmt.Sprint(others, " others"), func(t *testing.T) {
			peer := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
				answer(conn, reader, strings.Repeat(late, others)+mine)
				_, _ = io.Copy(io.Discard, reader)
			})
			p := NewPool()
			defer p.Close()
			c, err := p.Get(context.Background(), peer.address, false)
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.Send(&Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}}))
			response, err := c.Receive("GET", limit, accept)
			if others > maxForeign {
				assert.Assert(t, errors.Is(err, ErrMalformed))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, response.Header.Get("X-For"), "mine")
		})
	}
}

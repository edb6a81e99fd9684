package wharfrpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

type echo struct {
	block chan struct{}
}

func (e *echo) Say(text string, reply *string) error {
	if text == "wait" {
		<-e.block
	}
	if text == "fail" {
		return errors.New("requested failure")
	}
	*reply = text
	return nil
}

func serveEcho(t *testing.T, token string) (netip.AddrPort, *echo) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &echo{block: make(chan struct{})}
	server := rpc.NewServer()
	assert.NilError(t, server.RegisterName("E", e))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewPool(token, netip.Addr{}).Serve(ctx, listener, server)
	}()
	t.Cleanup(func() {
		close(e.block)
		cancel()
		<-done
	})
	return netip.MustParseAddrPort(listener.Addr().String()), e
}

func TestCall(t *testing.T) {
	address, _ := serveEcho(t, "token")
	pool := NewPool("token", netip.Addr{})
	t.Cleanup(pool.Close)
	var reply string
	assert.NilError(t, pool.Call(context.Background(), address, "E.Say", "hello", &reply))
	assert.Equal(t, reply, "hello")
	assert.ErrorContains(t, pool.Call(context.Background(), address, "E.Say", "fail", &reply), "requested failure")
	assert.Assert(t, pool.BytesOut.Load() > 0 && pool.BytesIn.Load() > 0)
}

func TestTimedOutCallReplacesConnection(t *testing.T) {
	address, _ := serveEcho(t, "token")
	pool := NewPool("token", netip.Addr{})
	t.Cleanup(pool.Close)
	assert.ErrorIs(t, say(pool, address, "wait", 50*time.Millisecond), ErrNoReply)
	var reply string
	assert.NilError(t, pool.Call(context.Background(), address, "E.Say", "again", &reply))
	assert.Equal(t, reply, "again")
}

// say calls a method that echoes text, with a limit on its time.
func say(pool *Pool, to netip.AddrPort, text string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reply string
	return pool.Call(ctx, to, "E.Say", text, &reply)
}

func TestTimedOutCallLeavesOtherCallsOnItsConnection(t *testing.T) {
	address, e := serveEcho(t, "token")
	pool := NewPool("token", netip.Addr{})
	t.Cleanup(pool.Close)
	other := make(chan error, 1)
	go func() { other <- say(pool, address, "wait", time.Minute) }()
	assert.ErrorIs(t, say(pool, address, "wait", 50*time.Millisecond), ErrNoReply)
	e.block <- struct{}{}
	e.block <- struct{}{}
	assert.NilError(t, <-other)
}

func TestCallsToFrozenPeerEndWithTheirContexts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections that nobody serves
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	pool := NewPool("token", netip.Addr{})
	t.Cleanup(pool.Close)
	var calls sync.WaitGroup
	start := time.Now()
	for range 5 {
		calls.Go(func() {
			err := say(pool, netip.MustParseAddrPort(listener.Addr().String()), "hello", 50*time.Millisecond)
			assert.Check(t, is.ErrorIs(err, ErrNoReply))
		})
	}
	calls.Wait()
	assert.Assert(t, time.Since(start) < handshakeTimeout/2, "took %v", time.Since(start))
}

func TestWrongTokenIsRejected(t *testing.T) {
	address, _ := serveEcho(t, "token")
	pool := NewPool("another", netip.Addr{})
	t.Cleanup(pool.Close)
	var reply string
	err := pool.Call(context.Background(), address, "E.Say", "hello", &reply)
	assert.Assert(t, errors.Is(err, ErrNoReply))
}

// bufferConn is a connection with fixed input that discards what is written.
type bufferConn struct {
	net.Conn
	input *bytes.Reader
}

func (c *bufferConn) Read(b []byte) (int, error)       { return c.input.Read(b) }
func (c *bufferConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *bufferConn) Close() error                     { return nil }
func (c *bufferConn) SetDeadline(time.Time) error      { return nil }
func (c *bufferConn) SetReadDeadline(time.Time) error  { return nil }
func (c *bufferConn) SetWriteDeadline(time.Time) error { return nil }

func FuzzPeerMessages(f *testing.F) {
	f.Add([]byte(helloPrefix + "token\n"))
	f.Add([]byte(helloPrefix + "token\n\x10\xff\x81\x03\x01"))
	f.Add([]byte("GET / HTTP/1.1\r\n"))
	f.Fuzz(func(_ *testing.T, input []byte) {
		server := rpc.NewServer()
		_ = server.RegisterName("E", &echo{block: make(chan struct{})})
		conn := &bufferConn{input: bytes.NewReader(input)}
		reader, ok := NewPool("token", netip.Addr{}).authenticate(conn)
		if !ok {
			return
		}
		server.ServeConn(struct {
			io.Reader
			io.WriteCloser
		}{io.LimitReader(reader, 1<<16), conn})
	})
}

package wharfrpc

import (
	"bufio"
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	dialTimeout      = 500 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	// retirementTimeout is how long calls on a connection that has been replaced may still be answered.
	retirementTimeout = 2 * time.Second
	helloPrefix       = "wharf-peer/1 "
	helloReply        = "ok\n"
	maxTokenBytes     = 512
)

// ErrNoReply means that a peer did not answer in time, or that its connection broke.
var ErrNoReply = errors.New("peer did not answer")

// Pool holds one connection to each daemon that is called. A connection may be dead when a call on it has timed out and none
// was answered meanwhile: later calls use a new one, while calls that wait on the old one may still be answered. It is safe
// for concurrent use.
type Pool struct {
	token  string
	from   netip.Addr
	mu     sync.Mutex
	peers  map[netip.AddrPort]*peer
	closed bool
	// TLS, if not nil, encrypts connections and requires certificates from both sides.
	TLS *tls.Config
	// BytesIn and BytesOut count the bytes read from and written to peers.
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
	// Calls counts the calls made.
	Calls atomic.Int64
}

// NewPool returns a pool that authenticates with the deployment's token. If from is valid, connections are dialed from
// that local address.
func NewPool(token string, from netip.Addr) *Pool {
	return &Pool{token: token, from: from, peers: map[netip.AddrPort]*peer{}}
}

// Call calls a method of a peer, and returns when ctx is done at the latest. Errors are either returned by the method
// itself (rpc.ServerError) or wrap ErrNoReply.
func (p *Pool) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	p.Calls.Add(1)
	other, err := p.peer(to)
	if err != nil {
		return trace.Wrap(err)
	}
	s, err := other.beginCall(ctx, p)
	if err != nil {
		return trace.Wrap(fmt.Errorf("%w: %v", ErrNoReply, err))
	}
	return trace.Wrap(s.finishCall(ctx, method, args, reply))
}

func (p *Pool) peer(address netip.AddrPort) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrNoReply
	}
	other := p.peers[address]
	if other == nil {
		other = &peer{address: address}
		p.peers[address] = other
	}
	return other, nil
}

// Close closes all connections; later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, other := range p.peers {
		other.close()
	}
}

func (p *Pool) dial(ctx context.Context, to netip.AddrPort) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if p.from.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: p.from.AsSlice()}
	}
	raw, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if p.TLS != nil {
		raw = tls.Client(raw, p.TLS)
	}
	if err := p.handshake(raw); err != nil {
		_ = raw.Close()
		return nil, trace.Wrap(err)
	}
	return rpc.NewClient(&countedConn{Conn: raw, in: &p.BytesIn, out: &p.BytesOut}), nil
}

// handshake presents the token and waits until the peer accepts it.
func (p *Pool) handshake(raw net.Conn) error {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	if _, err := io.WriteString(raw, helloPrefix+p.token+"\n"); err != nil {
		return trace.Wrap(err)
	}
	answer := make([]byte, len(helloReply))
	if _, err := io.ReadFull(raw, answer); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(raw.SetDeadline(time.Time{}))
}

// Serve serves connections from daemons that present the token. It returns the error of ctx when that has ended, after
// all connections are closed.
func (p *Pool) Serve(ctx context.Context, listener net.Listener, server *rpc.Server) error {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	if p.TLS != nil {
		listener = tls.NewListener(listener, p.TLS)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return trace.Wrap(err)
		}
		handlers.Go(func() { p.serveConn(ctx, raw, server) })
	}
}

func (p *Pool) serveConn(ctx context.Context, raw net.Conn, server *rpc.Server) {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	defer func() { _ = raw.Close() }()
	reader, ok := p.authenticate(raw)
	if !ok {
		return
	}
	server.ServeConn(&countedConn{Conn: raw, reader: reader, in: &p.BytesIn, out: &p.BytesOut})
}

// authenticate checks the token that a new connection presents. It returns the reader for the rest of the connection,
// which may have buffered bytes beyond the token.
func (p *Pool) authenticate(raw net.Conn) (io.Reader, bool) {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, false
	}
	reader := bufio.NewReaderSize(raw, maxTokenBytes)
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return nil, false
	}
	token, found := strings.CutPrefix(strings.TrimSuffix(string(line), "\n"), helloPrefix)
	if !found || subtle.ConstantTimeCompare([]byte(token), []byte(p.token)) != 1 {
		return nil, false
	}
	if _, err := io.WriteString(raw, helloReply); err != nil {
		return nil, false
	}
	return reader, raw.SetDeadline(time.Time{}) == nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	reader  io.Reader
	in, out *atomic.Int64
}

// Read reads from the buffered reader of the handshake, if any, and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	var n int
	var err error
	if c.reader != nil {
		n, err = c.reader.Read(b)
	} else {
		n, err = c.Conn.Read(b)
	}
	c.in.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

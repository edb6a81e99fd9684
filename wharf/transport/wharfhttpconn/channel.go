package wharfhttpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"wagtailwharf.example/wharf/transport/wharfdialer"
)

// Sentinel errors of an exchange.
var (
	// ErrNotSent says that no byte of the request can have reached the endpoint.
	ErrNotSent = errors.New("endpoint could not be reached")
	// ErrConnectionBroken says that the connection broke after the request may have been sent.
	ErrConnectionBroken = errors.New("endpoint broke the connection")
	// ErrIdleTimeout says that the endpoint sent nothing for too long.
	ErrIdleTimeout = errors.New("endpoint was silent for too long")
	// ErrMalformed says that the endpoint's bytes are no answer to the request.
	ErrMalformed = errors.New("endpoint's answer is malformed")
)

const (
	readBuffer = 4 << 10 // bytes; an event has a few hundred
	// inlineBody is the largest body in bytes that is written before the answer is read; longer ones are written
	// meanwhile, since an endpoint may answer before it has read them.
	inlineBody = 16 << 10
	// maxForeign is the number of answers to other requests that are skipped on one connection.
	maxForeign = 2
	// drainLimit is the largest rest in bytes of a foreign answer that is read to skip it.
	drainLimit = 1 << 20
)

// Request is one request as it goes over the wire.
type Request struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is one connection to an endpoint; one goroutine uses it at a time.
type Conn struct {
	Address  netip.AddrPort
	Reused   bool // it has carried an exchange before
	conn     *net.TCPConn
	reader   *bufio.Reader
	idleFrom time.Time
	keep     time.Duration // how long the endpoint keeps it idle, 0 if it does not say
	written  chan error    // outcome of a body that is written while the answer is read, nil if there is none
}

func dial(ctx context.Context, address netip.AddrPort, limit time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := wharfdialer.Dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &Conn{Address: address, conn: conn.(*net.TCPConn), reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// Close closes the connection; an endpoint drops the request that it runs for it.
func (c *Conn) Close() {
	_ = c.conn.Close()
}

// Send writes a request. Its error is ErrBroken, as an endpoint may have read what was written.
func (c *Conn) Send(r *Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionBroken, err)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	c.written = nil
	if len(r.Body) <= inlineBody {
		head.Write(r.Body)
		return c.write(head.Bytes())
	}
	written := make(chan error, 1)
	c.written = written
	go func() {
		err := c.write(head.Bytes())
		if err == nil {
			err = c.write(r.Body)
		}
		written <- err
	}()
	return nil
}

func (c *Conn) write(data []byte) error {
	if _, err := c.conn.Write(data); err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionBroken, err)
	}
	return nil
}

// Receive reads the answer's status and header, and skips answers that accept says belong to other requests.
func (c *Conn) Receive(method string, limit time.Duration, accept func(*http.Response) bool) (*http.Response, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnectionBroken, err)
	}
	for range maxForeign + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, classify(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if accept(response) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, drainLimit)); err != nil {
			return nil, classify(err)
		}
	}
	return nil, ErrMalformed
}

// SetReadTimeout sets how long the next part of the answer may take.
func (c *Conn) SetReadTimeout(limit time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
}

// ClassifyReadError turns an error of reading an answer's body into one of this package's.
func ClassifyReadError(err error) error {
	return classify(err)
}

func classify(err error) error {
	var timeout net.Error
	var broken *net.OpError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return fmt.Errorf("%w: %w", ErrIdleTimeout, err)
	case errors.As(err, &broken), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return fmt.Errorf("%w: %w", ErrConnectionBroken, err)
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// bodyWritten reports whether the whole request has been written.
func (c *Conn) bodyWritten() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		c.written = nil
		return err == nil
	default:
		return false
	}
}

// quiet reports whether the connection is open and nothing lies on it that nobody asked for.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	n := 0
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peeked = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n <= 0 && errors.Is(peeked, unix.EAGAIN)
}

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

	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"

	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/transport/wharfdialer"
)

// Sentinel errors of a request over a connection.
var (
	// ErrNotSent means that no byte of the request can have reached the endpoint.
	ErrNotSent = errors.New("failed to connect to endpoint")
	// ErrInvalidRequest means that the request can't be written as one request. No byte of it was sent.
	ErrInvalidRequest = errors.New("request can't be written")
	// ErrConnectionBroken means that the connection broke after the request may have been sent.
	ErrConnectionBroken = errors.New("connection to endpoint broke")
	// ErrIdleTimeout means that the endpoint sent nothing within the time limit.
	ErrIdleTimeout = errors.New("timed out waiting for endpoint")
	// ErrMalformed means that what the endpoint sent is not a valid response to the request.
	ErrMalformed = errors.New("malformed response from endpoint")
)

const (
	readBufferBytes = 4 << 10 // an event has a few hundred bytes
	// maxInlineBodyBytes is the largest body that is written before the response is read. Longer bodies are written in
	// the background, since an endpoint may respond before it has read them.
	maxInlineBodyBytes = 16 << 10
	// maxSkippedResponses is the number of responses that are skipped while waiting for the response to a request.
	maxSkippedResponses = 2
	// maxSkippedBytes is the largest body that is read to skip a response to another request.
	maxSkippedBytes = 1 << 20
	// maxHeadBytes bounds the bytes read until the header of a response is complete, with the interim responses before
	// it. A response's header has a few hundred bytes.
	maxHeadBytes = 64 << 10
)

// Request is a request as it is sent on the wire.
type Request struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to an endpoint. It is not safe for concurrent use.
type Conn struct {
	Address   netip.AddrPort
	Reused    bool // it has carried a request before
	conn      *net.TCPConn
	source    *boundedReader
	reader    *bufio.Reader // reads from source
	refused   []string      // IDs of requests that the endpoint has refused or failed on it
	idleSince time.Time
	keepAlive time.Duration // idle timeout announced by the endpoint, 0 if none
	readLimit time.Duration // time until the next part of the response must arrive
	upload    *upload       // a request that is written in the background, nil if there is none
}

func dial(ctx context.Context, address netip.AddrPort, limit time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := wharfdialer.Dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	source := &boundedReader{conn: conn, left: maxHeadBytes}
	return &Conn{
		Address: address, conn: conn.(*net.TCPConn), source: source, reader: bufio.NewReaderSize(source, readBufferBytes),
	}, nil
}

// boundedReader reads from a connection and fails after a number of bytes, so that a header without end costs little
// memory: net/http reads it whole.
type boundedReader struct {
	conn    net.Conn
	left    int // bytes that may be read, unless unbound is set
	unbound bool
}

// Read implements io.Reader.
func (b *boundedReader) Read(data []byte) (int, error) {
	if b.unbound {
		return b.conn.Read(data)
	}
	if b.left <= 0 {
		return 0, fmt.Errorf("%w: header has more than %d bytes", ErrMalformed, maxHeadBytes)
	}
	n, err := b.conn.Read(data[:min(len(data), b.left)])
	b.left -= n
	return n, err
}

// Close closes the connection, which makes the endpoint cancel a running request.
func (c *Conn) Close() {
	_ = c.conn.Close()
}

// NoteRefused records that the endpoint has refused or failed a request on the connection.
func (c *Conn) NoteRefused(id string) {
	c.refused = append(c.refused, id)
}

// valid reports whether each part of the request's head stays in its place: nothing ends a line or a word early.
func (r *Request) valid() bool {
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) || !allValid(values) {
			return false
		}
	}
	return httpguts.ValidHeaderFieldName(r.Method) && wharfcall.ValidTarget(r.Target) && httpguts.ValidHostHeader(r.Host)
}

func allValid(values []string) bool {
	for _, value := range values {
		if !httpguts.ValidHeaderFieldValue(value) {
			return false
		}
	}
	return true
}

// head returns the request up to its body.
func (r *Request) head() []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&head) // a buffer never returns an error
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// Send writes a request. Its error wraps ErrInvalidRequest if nothing was written, and otherwise ErrConnectionBroken, since the
// endpoint may have read what was written.
func (c *Conn) Send(r *Request) error {
	if !r.valid() {
		return fmt.Errorf("%w: %s %q, host %q", ErrInvalidRequest, r.Method, r.Target, r.Host)
	}
	head := r.head()
	c.upload = nil
	if len(r.Body) <= maxInlineBodyBytes {
		return c.write(append(head, r.Body...))
	}
	c.upload = startUpload(func() error {
		if err := c.write(head); err != nil {
			return err
		}
		return c.write(r.Body)
	})
	return nil
}

func (c *Conn) write(data []byte) error {
	if _, err := c.conn.Write(data); err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionBroken, err)
	}
	return nil
}

// Receive reads the status and header of the response within the limit. It skips interim (1xx) responses, and up to
// maxSkippedResponses that accept rejects as belonging to other requests.
func (c *Conn) Receive(method string, limit time.Duration, accept func(*http.Response) bool) (*http.Response, error) {
	c.readLimit = limit
	if err := c.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnectionBroken, err)
	}
	for range maxSkippedResponses + 1 {
		response, err := c.readHeader(method)
		if err != nil {
			return nil, classify(err)
		}
		if accept(response) {
			return response, nil
		}
		if err := Discard(response, maxSkippedBytes); err != nil {
			return nil, err
		}
	}
	return nil, ErrMalformed
}

// readHeader reads the status and header of the next response that is not an interim one.
func (c *Conn) readHeader(method string) (*http.Response, error) {
	c.source.left, c.source.unbound = maxHeadBytes, false
	defer func() { c.source.unbound = true }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case wharfcall.IsFinalStatus(response.StatusCode):
			c.watchEnd(response)
			return response, nil
		case !wharfcall.IsInterimStatus(response.StatusCode):
			return nil, fmt.Errorf("%w: status %03d", ErrMalformed, response.StatusCode)
		}
	}
}

// watchEnd makes the body of a response that ends with the connection fail unless the whole request was written.
func (c *Conn) watchEnd(response *http.Response) {
	if c.upload != nil && !EndIsMarked(response) {
		response.Body = &unmarkedBody{ReadCloser: response.Body, conn: c}
	}
}

// EndIsMarked reports whether something else than the end of the connection says where a response's body ends.
func EndIsMarked(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// Discard reads the rest of a response's body. It returns an error, after which the connection must be closed, if that
// fails or the body has more than limit bytes.
func Discard(response *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, limit+1))
	if err != nil {
		return classify(err)
	}
	if n > limit {
		return fmt.Errorf("%w: body has more than %d bytes", ErrMalformed, limit)
	}
	return nil
}

// SetReadTimeout limits the time until the next part of the response arrives.
func (c *Conn) SetReadTimeout(limit time.Duration) {
	c.readLimit = limit
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
}

// ClassifyReadError maps an error of reading a response body to one of this package's errors.
func ClassifyReadError(err error) error {
	return classify(err)
}

func classify(err error) error {
	var timeout net.Error
	var broken *net.OpError
	switch {
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrConnectionBroken), errors.Is(err, ErrIdleTimeout):
		return err
	case errors.As(err, &timeout) && timeout.Timeout():
		return fmt.Errorf("%w: %w", ErrIdleTimeout, err)
	case errors.As(err, &broken), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, net.ErrClosed):
		return fmt.Errorf("%w: %w", ErrConnectionBroken, err)
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// requestWritten reports whether the whole request has been written successfully.
func (c *Conn) requestWritten() bool {
	return c.upload == nil || c.upload.succeeded()
}

// reusable reports whether the connection is open and has no unread data, which would be unsolicited.
func (c *Conn) reusable() bool {
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
		var buffer [1]byte
		n, _, peeked = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n <= 0 && errors.Is(peeked, unix.EAGAIN)
}

package wharfendpointclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharforder"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/state/wharfconfig"
)

const (
	dialTimeout  = time.Second
	idlePerHost  = 64
	idleTimeout  = 30 * time.Second
	maxOrderBody = 1 << 16
)

// Sentinel errors of a call to an endpoint.
var (
	// ErrNotSent says that no byte of the request can have reached the endpoint.
	ErrNotSent = errors.New("endpoint could not be reached")
	// ErrConnectionBroken says that the connection broke after the request may have been sent.
	ErrConnectionBroken = errors.New("endpoint broke the connection")
	// ErrIdleTimeout says that the endpoint sent nothing for too long.
	ErrIdleTimeout = errors.New("endpoint was silent for too long")
	// ErrResponseMismatch says that the answer belongs to another request.
	ErrResponseMismatch = errors.New("endpoint answered another request")
)

// Client calls endpoints, each over connections of its own.
type Client struct {
	mu         sync.Mutex
	transports map[string]*http.Transport
	fresh      *http.Transport
}

// New returns a client without connections.
func New() *Client {
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Client{transports: map[string]*http.Transport{}, fresh: fresh}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
	c.fresh.CloseIdleConnections()
}

// Request is one request to an endpoint; Header holds only what may be passed on.
type Request struct {
	Endpoint         wharfconfig.Endpoint
	Method           string
	Path             string
	Query            string
	Header           http.Header
	Body             []byte
	RequestID        string
	NewConnection    bool          // on a connection that carried nothing before
	FirstByteTimeout time.Duration // longest wait for the answer's header
	IdleTimeout      time.Duration // longest wait between two parts of the answer
}

// Response is the answer of an endpoint, whose body must be closed.
type Response struct {
	StatusCode int
	Header     http.Header
	Length     int64 // of the body in bytes, -1 if it is not known
	Body       io.ReadCloser
}

// Send sends a request and returns the answer once its header is there and names the request.
func (c *Client) Send(ctx context.Context, request Request) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var gotConn atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	built, err := build(traced, request)
	if err != nil {
		cancel(nil)
		return nil, trace.Wrap(err)
	}
	watch := newWatch(cancel, request.FirstByteTimeout)
	response, err := c.transport(request).RoundTrip(built)
	if err != nil {
		watch.stop()
		err = classify(ctx, err, gotConn.Load())
		cancel(nil)
		c.doubt(request, err)
		return nil, trace.Wrap(err)
	}
	watch.restart(request.IdleTimeout)
	body := &body{ReadCloser: response.Body, ctx: ctx, cancel: cancel, watch: watch, idle: request.IdleTimeout}
	body.failed = func(err error) { c.doubt(request, err) }
	if err := checkEcho(response, request.RequestID); err != nil {
		_ = body.Close()
		return nil, trace.Wrap(err)
	}
	return &Response{StatusCode: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: body}, nil
}

func build(ctx context.Context, request Request) (*http.Request, error) {
	url := request.Endpoint.URL + request.Path
	if request.Query != "" {
		url += "?" + request.Query
	}
	built, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(request.Body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range request.Header {
		built.Header[name] = values
	}
	built.Header.Set(wharfapi.RequestIDHeader, request.RequestID)
	return built, nil
}

// checkEcho refuses an answer that names another request; an answer that names none is checked by its body.
func checkEcho(response *http.Response, requestID string) error {
	echoed := response.Header.Get(wharfapi.RequestIDHeader)
	if echoed != "" && echoed != requestID {
		return ErrResponseMismatch
	}
	return nil
}

func (c *Client) transport(request Request) *http.Transport {
	if request.NewConnection {
		return c.fresh
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.transports[request.Endpoint.Name]
	if t == nil {
		t = newTransport()
		c.transports[request.Endpoint.Name] = t
	}
	return t
}

// doubt drops the endpoint's idle connections after silence, since they may have gone silent for good as well.
func (c *Client) doubt(request Request, err error) {
	if errors.Is(err, ErrIdleTimeout) && !request.NewConnection {
		c.transport(request).CloseIdleConnections()
	}
}

func classify(ctx context.Context, err error, gotConn bool) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrIdleTimeout):
		return ErrIdleTimeout
	case cause != nil:
		return cause
	case !gotConn:
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %v", ErrConnectionBroken, err)
}

// watch cancels a call that is silent for too long.
type watch struct {
	timer *time.Timer
}

func newWatch(cancel context.CancelCauseFunc, limit time.Duration) *watch {
	return &watch{timer: time.AfterFunc(limit, func() { cancel(ErrIdleTimeout) })}
}

func (w *watch) restart(limit time.Duration) {
	w.timer.Reset(limit)
}

func (w *watch) stop() {
	w.timer.Stop()
}

type body struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	watch  *watch
	idle   time.Duration
	failed func(error)
}

// Read reads on, and turns what ends the body early into this package's errors.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.watch.restart(b.idle)
	if err != nil && !errors.Is(err, io.EOF) {
		err = classify(b.ctx, err, true)
		b.failed(err)
	}
	return n, err
}

// Close ends the call, whether or not the body was read to its end.
func (b *body) Close() error {
	b.watch.stop()
	b.cancel(nil)
	return b.ReadCloser.Close()
}

// CurrentOrder reads back the order that an endpoint follows.
func (c *Client) CurrentOrder(ctx context.Context, endpoint wharfconfig.Endpoint) (wharforder.Order, error) {
	var order wharforder.Order
	data, err := c.exchange(ctx, endpoint, http.MethodGet, nil)
	if err != nil {
		return order, trace.Wrap(err)
	}
	return order, trace.Wrap(json.Unmarshal(data, &order))
}

// SendOrder gives an endpoint an order.
func (c *Client) SendOrder(ctx context.Context, endpoint wharfconfig.Endpoint, order wharforder.Order) error {
	data, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.exchange(ctx, endpoint, http.MethodPost, data)
	return trace.Wrap(err)
}

func (c *Client) exchange(ctx context.Context, endpoint wharfconfig.Endpoint, method string, data []byte) ([]byte, error) {
	const limit = 2 * time.Second
	response, err := c.Send(ctx, Request{Endpoint: endpoint, Method: method, Path: "/orders", Body: data, FirstByteTimeout: limit, IdleTimeout: limit})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxOrderBody))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, trace.Wrap(fmt.Errorf("endpoint %s answered %d: %s", endpoint.Name, response.StatusCode, answer))
	}
	return answer, nil
}

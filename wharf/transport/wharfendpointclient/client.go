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
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharforder"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfconfig"
)

const (
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 30 * time.Second
	maxOrderBodyBytes   = 1 << 16
)

// Sentinel errors of a call to an endpoint. Their texts appear in the results of failed batch items.
var (
	// ErrNotSent means that no byte of the request can have reached the endpoint.
	ErrNotSent = errors.New("endpoint could not be reached")
	// ErrConnectionBroken means that the connection broke after the request may have been sent.
	ErrConnectionBroken = errors.New("endpoint broke the connection")
	// ErrIdleTimeout means that the endpoint sent nothing within the time limit.
	ErrIdleTimeout = errors.New("endpoint was silent for too long")
	// ErrResponseMismatch means that the response belongs to another request.
	ErrResponseMismatch = errors.New("endpoint answered another request")
	// ErrEncoded means that the response has a content encoding.
	ErrEncoded = errors.New("endpoint encoded its answer")
	// ErrInvalidStatus means that the status of the response is none of an answer.
	ErrInvalidStatus = errors.New("endpoint answered with an invalid status")
)

// Client sends requests to endpoints, with a separate connection pool for each. It is safe for concurrent use.
type Client struct {
	mu         sync.Mutex
	transports map[string]*http.Transport
	noReuse    *http.Transport
}

// New returns a client without open connections.
func New() *Client {
	noReuse := newTransport()
	noReuse.DisableKeepAlives = true
	return &Client{transports: map[string]*http.Transport{}, noReuse: noReuse}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
	c.noReuse.CloseIdleConnections()
}

// Request is a request to an endpoint. Header must hold only headers that may be forwarded.
type Request struct {
	Endpoint         wharfconfig.Endpoint
	Method           string
	Path             string
	Query            string
	Header           http.Header
	Body             []byte
	RequestID        string
	NewConnection    bool          // use a new connection that is not reused
	FirstByteTimeout time.Duration // longest wait for the response header
	IdleTimeout      time.Duration // longest wait between two parts of the response body
}

// Response is an endpoint's response. Its body must be closed.
type Response struct {
	StatusCode int
	Header     http.Header
	Length     int64 // of the body in bytes, -1 if unknown
	Body       io.ReadCloser
}

// Send sends a request and returns the response once its header has arrived. It returns ErrInvalidStatus if the status is none
// of an answer, ErrResponseMismatch if the header names another request, and ErrEncoded if the body is encoded.
func (c *Client) Send(ctx context.Context, request Request) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	progress := newProgress()
	httpRequest, err := newHTTPRequest(progress.trace(ctx), request)
	if err != nil {
		cancel(nil)
		return nil, trace.Wrap(err)
	}
	inactivity := newInactivityTimer(cancel, request.FirstByteTimeout)
	response, err := c.transport(request).RoundTrip(httpRequest)
	if err != nil {
		inactivity.stop()
		err = classify(ctx, err, progress.connected())
		cancel(nil)
		c.dropIdleAfterTimeout(request, err)
		return nil, trace.Wrap(err)
	}
	inactivity.restart(request.IdleTimeout)
	body := &responseBody{
		ReadCloser:  response.Body,
		ctx:         ctx,
		cancel:      cancel,
		inactivity:  inactivity,
		idleTimeout: request.IdleTimeout,
	}
	body.onError = func(err error) { c.dropIdleAfterTimeout(request, err) }
	if !endIsMarked(response) {
		body.progress = progress
	}
	err = errors.Join(checkStatus(response), checkRequestID(response, request.RequestID), checkEncoding(response))
	if err != nil {
		_ = body.Close()
		return nil, trace.Wrap(err)
	}
	return &Response{
		StatusCode: response.StatusCode,
		Header:     response.Header,
		Length:     response.ContentLength,
		Body:       body,
	}, nil
}

// newHTTPRequest converts a request for net/http and adds its ID.
func newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	url := request.Endpoint.URL + request.Path
	if request.Query != "" {
		url += "?" + request.Query
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(request.Body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range request.Header {
		httpRequest.Header[name] = values
	}
	httpRequest.Header.Set(wharfapi.RequestIDHeader, request.RequestID)
	return httpRequest, nil
}

// checkStatus rejects a response whose status is none of an answer.
func checkStatus(response *http.Response) error {
	if !wharfcall.IsFinalStatus(response.StatusCode) {
		return fmt.Errorf("%w: %03d", ErrInvalidStatus, response.StatusCode)
	}
	return nil
}

// endIsMarked reports whether something else than the end of the connection says where a response's body ends.
func endIsMarked(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// checkRequestID rejects a response that names another request. A response that names none must be checked by its body.
func checkRequestID(response *http.Response, requestID string) error {
	responseID := response.Header.Get(wharfapi.RequestIDHeader)
	if responseID != "" && responseID != requestID {
		return ErrResponseMismatch
	}
	return nil
}

// checkEncoding rejects a response whose body is encoded, though no encoding was asked for: no encoding is forwarded.
func checkEncoding(response *http.Response) error {
	if encoding := response.Header.Get("Content-Encoding"); encoding != "" && !strings.EqualFold(encoding, "identity") {
		return ErrEncoded
	}
	return nil
}

func (c *Client) transport(request Request) *http.Transport {
	if request.NewConnection {
		return c.noReuse
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

// dropIdleAfterTimeout closes the endpoint's idle connections after an inactivity timeout, since they may be dead too.
func (c *Client) dropIdleAfterTimeout(request Request, err error) {
	if errors.Is(err, ErrIdleTimeout) && !request.NewConnection {
		c.transport(request).CloseIdleConnections()
	}
}

// classify maps an error of a call to one of this package's errors, or to the cause of the caller's cancellation.
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

// inactivityTimer cancels a call with ErrIdleTimeout if no data arrives for too long.
type inactivityTimer struct {
	timer *time.Timer
}

func newInactivityTimer(cancel context.CancelCauseFunc, limit time.Duration) *inactivityTimer {
	return &inactivityTimer{timer: time.AfterFunc(limit, func() { cancel(ErrIdleTimeout) })}
}

func (w *inactivityTimer) restart(limit time.Duration) {
	w.timer.Reset(limit)
}

func (w *inactivityTimer) stop() {
	w.timer.Stop()
}

// responseBody is a response body with an inactivity timeout.
type responseBody struct {
	io.ReadCloser
	ctx         context.Context
	cancel      context.CancelCauseFunc
	inactivity  *inactivityTimer
	idleTimeout time.Duration
	onError     func(error)
	progress    *progress // of the request, if the body ends with the connection; nil otherwise
}

// Read reads from the body, and maps an error before its end to one of this package's errors. The end of the connection is the
// body's only if the request was written: a reset that the write reports looks like an ordinary end to the reader.
func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.inactivity.restart(b.idleTimeout)
	if errors.Is(err, io.EOF) && b.progress != nil {
		if failure := b.progress.written(b.ctx); failure != nil {
			err = failure
		}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = classify(b.ctx, err, true)
		b.onError(err)
	}
	return n, err
}

// Close ends the call, even if the body was not read to its end.
func (b *responseBody) Close() error {
	b.inactivity.stop()
	b.cancel(nil)
	return b.ReadCloser.Close()
}

// CurrentOrder returns the order that an endpoint currently follows.
func (c *Client) CurrentOrder(ctx context.Context, endpoint wharfconfig.Endpoint) (wharforder.Order, error) {
	var order wharforder.Order
	data, err := c.callOrders(ctx, endpoint, http.MethodGet, nil)
	if err != nil {
		return order, trace.Wrap(err)
	}
	return order, trace.Wrap(json.Unmarshal(data, &order))
}

// SendOrder sends an order to an endpoint.
func (c *Client) SendOrder(ctx context.Context, endpoint wharfconfig.Endpoint, order wharforder.Order) error {
	data, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.callOrders(ctx, endpoint, http.MethodPost, data)
	return trace.Wrap(err)
}

// callOrders calls the orders interface of an endpoint and returns the response body.
func (c *Client) callOrders(
	ctx context.Context, endpoint wharfconfig.Endpoint, method string, data []byte,
) ([]byte, error) {
	const limit = 2 * time.Second
	response, err := c.Send(ctx, Request{
		Endpoint:         endpoint,
		Method:           method,
		Path:             "/orders",
		Body:             data,
		FirstByteTimeout: limit,
		IdleTimeout:      limit,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxOrderBodyBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, trace.Wrap(fmt.Errorf("endpoint %s responded with status %d: %s", endpoint.Name,
			response.StatusCode, answer))
	}
	return answer, nil
}

package wharfforwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"wagtailwharf.example/wharf/protocol/wharfdialect"
	"wagtailwharf.example/wharf/protocol/wharfframes"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/transport/wharfhttpconn"
)

const (
	copyBufferBytes = 16 << 10
	// maxFillerBytes bounds the blocks without data, such as comments, between two events of a stream.
	maxFillerBytes = 16 << 10
	// maxErrorBodyBytes is how much of an error response's body is buffered to be forwarded.
	maxErrorBodyBytes = 64 << 10
)

// ResponseSink receives a response as it arrives. An error from a method means that the caller no longer waits for it.
type ResponseSink interface {
	// WriteHeader receives the status and header of the first response.
	WriteHeader(status int, header http.Header) error
	// WriteEvent receives a complete event, or a block of a stream that has no data and is no event; more reports that
	// another one is already buffered.
	WriteEvent(e wharfframes.Event, more bool) error
	// WriteBody receives a part of a body that is not an event stream.
	WriteBody(data []byte) error
}

// Exchange describes one attempt to send a call to an endpoint.
type Exchange struct {
	Call              *wharfcall.Call
	Attempt           wharfcall.Attempt
	Address           netip.AddrPort
	NonRepeatable     bool                       // the request must not be sent twice
	HeaderWritten     bool                       // the sink has received the header in an earlier attempt
	Streaming         bool                       // the response is an event stream
	FirstEventTimeout time.Duration              // longest wait for the response's header and first event
	IdleTimeout       time.Duration              // longest pause between later reads
	StallTimeout      time.Duration              // wait for the response's header after which OnStall is called; 0 for never
	MaySend           func() bool                // asked when a connection is open; if false, the request is not sent; may be nil
	OnStall           func(stalled bool)         // called with true, and with false when the wait ends
	OnResponse        func(r wharfcall.Response) // called when the header of the endpoint's response has arrived; may be nil
}

// Result is the result of an attempt.
type Result struct {
	Outcome          wharfoutcome.Outcome // 0 if the whole response was forwarded
	Err              error
	Started          bool // some of the response was forwarded
	LastEvent        int  // number of the last event forwarded in this or an earlier attempt
	Events           int  // number of events that this attempt forwarded
	TimeToFirstEvent time.Duration
	// EventSpan is the time from the first event of this attempt to the last, 0 if that says nothing about the endpoint.
	EventSpan     time.Duration
	ErrorResponse *ErrorResponse // the endpoint's response, if its status is 5xx
}

// ErrorResponse is an endpoint's response with a server error status.
type ErrorResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forwarder sends requests to endpoints. It is safe for concurrent use.
type Forwarder struct {
	dialect wharfdialect.Dialect
	pool    *wharfhttpconn.Pool
}

// New returns a forwarder that takes its connections from pool.
func New(dialect wharfdialect.Dialect, pool *wharfhttpconn.Pool) *Forwarder {
	return &Forwarder{dialect: dialect, pool: pool}
}

// attempt is an exchange in progress.
type attempt struct {
	*Exchange
	forwarder *Forwarder
	conn      *wharfhttpconn.Conn
	sink      ResponseSink
	result    Result
	filler    []byte // blocks without data before the first event
	skipped   int    // bytes of the blocks without data since the last event
	started   time.Time
	span      eventSpan
	reuseFor  time.Duration
}

// Do makes one attempt. If ctx ends, it closes the connection, so that the endpoint cancels the request.
func (f *Forwarder) Do(ctx context.Context, x *Exchange, sink ResponseSink) Result {
	a := &attempt{Exchange: x, forwarder: f, sink: sink, started: time.Now()}
	a.result.LastEvent = x.Attempt.LastEvent
	err := a.run(ctx)
	a.result.Err, a.result.EventSpan = err, a.span.duration()
	if err == nil {
		return a.result
	}
	a.result.Outcome = outcomeOf(ctx, err)
	if a.result.Outcome == wharfoutcome.Malformed {
		a.result.EventSpan = 0
	}
	if a.result.Outcome == wharfoutcome.TimedOut {
		f.pool.CloseIdle(x.Address)
	}
	return a.result
}

// errWithdrawn means that the request was not sent because the endpoint no longer gets requests.
var errWithdrawn = errors.New("endpoint no longer gets requests")

// Sentinel errors of attempts that failed after the request was sent.
var (
	errDeclined      = errors.New("endpoint declined the request")
	errWrongEndpoint = errors.New("address belongs to another endpoint")
	errServerError   = errors.New("endpoint responded with a server error")
	errNotContinued  = errors.New("endpoint rejected the continuation of a stream")
	errNotAnswer     = fmt.Errorf("%w: success without ID, signature or event stream, or encoded", wharfhttpconn.ErrMalformed)
	errCallerGone    = errors.New("caller no longer accepts the response")
	errEventOrder    = errors.New("stream events are out of order")
	errNoEvents      = errors.New("stream has no event, or too many bytes without one")
)

// outcomeOf classifies the error of an attempt.
func outcomeOf(ctx context.Context, err error) wharfoutcome.Outcome {
	switch {
	case errors.Is(err, errDeclined), errors.Is(err, errWithdrawn), errors.Is(err, wharfhttpconn.ErrInvalidRequest):
		return wharfoutcome.Declined // nothing has run, and the endpoint is not at fault
	case errors.Is(err, errWrongEndpoint):
		return wharfoutcome.WrongEndpoint
	case errors.Is(err, errServerError), errors.Is(err, errNotContinued):
		return wharfoutcome.Failed
	case ctx.Err() != nil, errors.Is(err, errCallerGone):
		return wharfoutcome.CallerGone
	case errors.Is(err, wharfhttpconn.ErrNotSent):
		return wharfoutcome.NotSent
	case errors.Is(err, wharfhttpconn.ErrIdleTimeout):
		return wharfoutcome.TimedOut
	case errors.Is(err, wharfhttpconn.ErrConnectionBroken):
		return wharfoutcome.ConnectionLost
	}
	return wharfoutcome.Malformed
}

func (a *attempt) run(ctx context.Context) error {
	conn, err := a.forwarder.pool.Get(ctx, a.Address, a.Call.ID, a.NonRepeatable)
	if err != nil {
		return err
	}
	if a.MaySend != nil && !a.MaySend() {
		conn.Close()
		return errWithdrawn
	}
	a.conn = conn
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	response, err := a.roundTrip()
	if err != nil {
		conn.Close()
		return err
	}
	err = a.handleResponse(response)
	if err != nil && !wasRefused(err) {
		conn.Close()
		return err
	}
	if err != nil {
		conn.NoteRefused(a.Call.ID)
	}
	if stop() {
		a.forwarder.pool.Put(conn, response, a.reuseFor)
	}
	return err
}

// wasRefused reports whether an error says that the endpoint has answered, but not with a success. The connection stays of use.
func wasRefused(err error) bool {
	return slices.ContainsFunc([]error{errServerError, errDeclined, errWrongEndpoint, errNotContinued},
		func(refusal error) bool { return errors.Is(err, refusal) })
}

// watchStall calls OnStall(true) after StallTimeout. The returned function ends the wait: it stops the timer, or calls
// OnStall(false) if the endpoint has stalled.
func (a *attempt) watchStall() (stop func()) {
	var mu sync.Mutex
	ended, stalled := false, false
	timer := time.AfterFunc(a.StallTimeout, func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			stalled = true
			a.OnStall(true)
		}
	})
	return func() {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		ended = true
		if stalled {
			a.OnStall(false)
		}
	}
}

// roundTrip sends the request and reads the status and header of its response.
func (a *attempt) roundTrip() (*http.Response, error) {
	if a.StallTimeout > 0 {
		defer a.watchStall()()
	}
	request := wharfhttpconn.Request{
		Method: a.Call.Method,
		Target: a.Call.Target,
		Host:   a.Call.Host,
		Header: a.forwarder.dialect.AttemptHeader(a.Call, a.Attempt),
		Body:   a.Call.Body,
	}
	if err := a.conn.Send(&request); err != nil {
		return nil, err
	}
	return a.conn.Receive(a.Call.Method, a.FirstEventTimeout, func(r *http.Response) bool {
		id := a.forwarder.dialect.DecodeResponse(r.StatusCode, r.Header).ID
		if id == "" {
			return !a.conn.Reused // it may be a late copy of the response to an earlier request
		}
		return id == a.Call.ID
	})
}

// handleResponse forwards, buffers or discards the response, depending on its status and header. When the caller has part of a
// stream, only a stream that goes on is forwarded: the caller can't be given another status, and must not take a failure's
// body for a part of the stream.
func (a *attempt) handleResponse(response *http.Response) error {
	decoded := a.forwarder.dialect.DecodeResponse(response.StatusCode, response.Header)
	a.reuseFor = decoded.KeepAlive
	if a.OnResponse != nil && !decoded.WrongEndpoint {
		a.OnResponse(decoded)
	}
	switch {
	case decoded.WrongEndpoint:
		return a.discardResponse(response, errWrongEndpoint)
	case decoded.NotRun:
		return a.discardResponse(response, errDeclined)
	case promisesNotRun(decoded.Status):
		return a.discardResponse(response, errServerError)
	case decoded.Status >= http.StatusInternalServerError:
		return a.bufferErrorResponse(response)
	case decoded.Status >= http.StatusMultipleChoices && a.HeaderWritten:
		return a.discardResponse(response, errNotContinued)
	case decoded.Status >= http.StatusMultipleChoices:
		return a.forwardBody(response)
	case !a.isAnswer(decoded):
		return errNotAnswer
	case a.Streaming:
		return a.forwardStream(response)
	}
	return a.forwardBody(response)
}

// promisesNotRun reports whether a status tells callers that the request has not run. An endpoint that does not say so itself may
// have run it, so that its response must not be passed on with this status.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// isAnswer reports whether a success names the request, is signed and is not encoded, and is an event stream where one was asked
// for. Any other is not the endpoint's own response.
func (a *attempt) isAnswer(r wharfcall.Response) bool {
	if r.ID == "" || !r.Signed || r.Encoded {
		return false
	}
	return !a.Streaming || r.Status == http.StatusOK && r.EventStream
}

// discardResponse reads a response that is not forwarded, so that the connection can be reused.
func (a *attempt) discardResponse(response *http.Response, reason error) error {
	if err := wharfhttpconn.Discard(response, maxErrorBodyBytes); err != nil {
		a.conn.Close()
		response.Close = true
	}
	return reason
}

// bufferErrorResponse keeps an error response, which is forwarded only if the request is not retried at another
// endpoint. One that is too long is not kept, since its truncated body would look whole.
func (a *attempt) bufferErrorResponse(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes+1))
	if err != nil {
		return wharfhttpconn.ClassifyReadError(err)
	}
	if len(body) > maxErrorBodyBytes {
		a.conn.Close()
		response.Close = true
		return errServerError
	}
	a.result.ErrorResponse = &ErrorResponse{Status: response.StatusCode, Header: response.Header, Body: body}
	return errServerError
}

// forwardBody forwards a response that is not an event stream. It forwards the header with the first part of the body, or at the
// marked end of an empty one: a connection that ends before may have been cut within the answer.
func (a *attempt) forwardBody(response *http.Response) error {
	buffer := make([]byte, copyBufferBytes)
	for received := 0; ; {
		a.conn.SetReadTimeout(a.IdleTimeout)
		n, err := response.Body.Read(buffer)
		received += n
		if errors.Is(err, io.EOF) && received == 0 && !wharfhttpconn.EndIsMarked(response) {
			return wharfhttpconn.ErrConnectionBroken
		}
		if n > 0 || errors.Is(err, io.EOF) {
			if err := a.forwardPart(response, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return wharfhttpconn.ClassifyReadError(err)
		}
	}
}

// forwardPart forwards a part of a body, after the header.
func (a *attempt) forwardPart(response *http.Response, data []byte) error {
	if err := a.writeHeader(response); err != nil {
		return err
	}
	if len(data) > 0 && a.sink.WriteBody(data) != nil {
		return errCallerGone
	}
	return nil
}

// writeHeader forwards the status and header, unless this or an earlier attempt has done so.
func (a *attempt) writeHeader(response *http.Response) error {
	if a.result.TimeToFirstEvent == 0 {
		a.result.TimeToFirstEvent = time.Since(a.started)
	}
	if a.HeaderWritten || a.result.Started {
		a.result.Started = true
		return nil
	}
	a.result.Started = true
	if a.sink.WriteHeader(response.StatusCode, response.Header) != nil {
		return errCallerGone
	}
	return nil
}

// forwardStream forwards complete events until the stream ends.
func (a *attempt) forwardStream(response *http.Response) error {
	scanner := wharfframes.NewScanner(response.Body)
	for {
		event, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			return a.endStream(response, scanner.Buffered())
		}
		if err != nil {
			return wharfhttpconn.ClassifyReadError(err)
		}
		if err := a.forwardEvent(response, event, scanner.Ready()); err != nil {
			return err
		}
		if event.HasData { // comments are no progress
			a.conn.SetReadTimeout(a.IdleTimeout)
		}
	}
}

// forwardEvent forwards an event whose number follows the last one. An event without a number, or a number without an event,
// is out of order: nothing says where the stream can be resumed.
func (a *attempt) forwardEvent(response *http.Response, event wharfframes.Event, more bool) error {
	inSequence := a.Attempt.Resumes || a.result.Events > 0
	if event.HasNumber != event.HasData || event.HasNumber && inSequence && event.Number != a.result.LastEvent+1 {
		return errEventOrder
	}
	if !event.HasData {
		return a.forwardFiller(event, more)
	}
	if err := a.writeFiller(response); err != nil {
		return err
	}
	received := time.Now()
	if a.sink.WriteEvent(event, more) != nil {
		return errCallerGone
	}
	a.span.add(received)
	a.result.Events++
	a.result.LastEvent = event.Number
	a.skipped = 0
	return nil
}

// forwardFiller forwards a block without data. Before the first event it is kept: an endpoint that has sent no event has not
// begun to answer.
func (a *attempt) forwardFiller(block wharfframes.Event, more bool) error {
	if a.skipped += len(block.Raw); a.skipped > maxFillerBytes {
		return errNoEvents
	}
	if a.result.Events == 0 {
		a.filler = append(a.filler, block.Raw...)
		return nil
	}
	if a.sink.WriteEvent(block, more) != nil {
		return errCallerGone
	}
	return nil
}

// writeFiller forwards the header and the blocks that came before the first event. In the middle of a response it drops these
// blocks: they belong to the start of another one.
func (a *attempt) writeFiller(response *http.Response) error {
	if err := a.writeHeader(response); err != nil {
		return err
	}
	filler := a.filler
	a.filler = nil
	if len(filler) > 0 && !a.HeaderWritten && a.sink.WriteEvent(wharfframes.Event{Raw: filler}, true) != nil {
		return errCallerGone
	}
	return nil
}

// endStream finishes a stream at the end of the response's body. Bytes after the last complete event mean that the stream was
// truncated. A body without an event is whole only if it continues a stream, which then had no more events, and its end is
// marked: the end of the connection may have come before the first event.
func (a *attempt) endStream(response *http.Response, rest []byte) error {
	switch {
	case len(rest) > 0, a.result.Events == 0 && !wharfhttpconn.EndIsMarked(response):
		return wharfhttpconn.ErrConnectionBroken
	case a.result.Events == 0 && !a.Attempt.Resumes:
		return errNoEvents
	}
	return a.writeFiller(response)
}

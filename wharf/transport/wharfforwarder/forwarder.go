package wharfforwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"wagtailwharf.example/wharf/protocol/wharfdialect"
	"wagtailwharf.example/wharf/protocol/wharfframes"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/transport/wharfhttpconn"
)

const (
	copyBuffer = 16 << 10 // bytes
	// maxFailure is the largest body in bytes of a failure that is kept to be passed on.
	maxFailure = 64 << 10
)

// ResponseSink takes an answer as it comes; an error says that nobody waits for it any more.
type ResponseSink interface {
	// WriteHeader takes the status and header of the first answer.
	WriteHeader(status int, header http.Header) error
	// WriteEvent takes a whole event; more says that another follows at once.
	WriteEvent(e wharfframes.Event, more bool) error
	// WriteBody takes a part of a body that is no stream of events.
	WriteBody(data []byte) error
}

// Exchange is one attempt.
type Exchange struct {
	Call              *wharfcall.Call
	Attempt           wharfcall.Attempt
	Address           netip.AddrPort
	NonRepeatable     bool          // the request may not be repeated
	HeaderWritten     bool          // the recipient has the header of an earlier attempt
	Streaming         bool          // the answer is a stream of events
	FirstEventTimeout time.Duration // longest wait for the answer's header and first event
	IdleTimeout       time.Duration // longest pause after that
	SuspectAfter      time.Duration // silence after which Doubted is called, 0 for never
	OnSuspect         func(silent bool)
}

// Outcome says how an attempt ended.
type Outcome struct {
	Verdict          wharfoutcome.Outcome // 0 if the whole answer was passed on
	Err              error
	Started          bool // something of the answer was passed on
	LastEvent        int  // number of the last event that was passed on or was there before
	Events           int  // that this attempt has passed on
	TimeToFirstEvent time.Duration
	ErrorResponse    *ErrorResponse // the endpoint's own answer, if it failed
}

// ErrorResponse is an endpoint's answer that is no success.
type ErrorResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forwarder makes attempts; it is safe for concurrent use.
type Forwarder struct {
	dialect wharfdialect.Dialect
	pool    *wharfhttpconn.Pool
}

// New returns a forwarder that uses a pool's connections.
func New(dialect wharfdialect.Dialect, pool *wharfhttpconn.Pool) *Forwarder {
	return &Forwarder{dialect: dialect, pool: pool}
}

// attempt is an exchange that is under way.
type attempt struct {
	*Exchange
	forwarder *Forwarder
	channel   *wharfhttpconn.Conn
	to        ResponseSink
	outcome   Outcome
	started   time.Time
	keep      time.Duration
}

// Do makes one attempt. The end of ctx closes the connection, so that the endpoint drops the request.
func (f *Forwarder) Do(ctx context.Context, x *Exchange, to ResponseSink) Outcome {
	a := &attempt{Exchange: x, forwarder: f, to: to, started: time.Now()}
	a.outcome.LastEvent = x.Attempt.LastEvent
	err := a.run(ctx)
	a.outcome.Err = err
	if err == nil {
		return a.outcome
	}
	a.outcome.Verdict = verdictOf(ctx, err)
	if a.outcome.Verdict == wharfoutcome.TimedOut {
		f.pool.CloseIdle(x.Address)
	}
	return a.outcome
}

// Sentinel errors of answers that are no success.
var (
	errDeclined   = errors.New("endpoint declined the request")
	errMisplaced  = errors.New("another endpoint has the address")
	errFailed     = errors.New("endpoint failed")
	errCallerGone = errors.New("the caller takes no more of the answer")
	errSequence   = errors.New("the stream's events are out of order")
)

func verdictOf(ctx context.Context, err error) wharfoutcome.Outcome {
	switch {
	case errors.Is(err, errDeclined):
		return wharfoutcome.Declined
	case errors.Is(err, errMisplaced):
		return wharfoutcome.WrongEndpoint
	case errors.Is(err, errFailed):
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
	channel, err := a.forwarder.pool.Get(ctx, a.Address, a.NonRepeatable)
	if err != nil {
		return err
	}
	a.channel = channel
	stop := context.AfterFunc(ctx, channel.Close)
	defer stop()
	response, err := a.exchange()
	if err != nil {
		channel.Close()
		return err
	}
	err = a.pass(response)
	if err != nil && !errors.Is(err, errFailed) && !errors.Is(err, errDeclined) && !errors.Is(err, errMisplaced) {
		channel.Close()
		return err
	}
	if stop() {
		a.forwarder.pool.Put(channel, response, a.keep)
	}
	return err
}

// watch has the endpoint doubted once it has been silent for long, until the function that it returns is called.
func (a *attempt) watch() (answered func()) {
	var mu sync.Mutex
	ended, doubted := false, false
	timer := time.AfterFunc(a.SuspectAfter, func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			doubted = true
			a.OnSuspect(true)
		}
	})
	return func() {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		ended = true
		if doubted {
			a.OnSuspect(false)
		}
	}
}

// exchange sends the request and reads the status and header of the answer to it.
func (a *attempt) exchange() (*http.Response, error) {
	if a.SuspectAfter > 0 {
		defer a.watch()()
	}
	request := wharfhttpconn.Request{
		Method: a.Call.Method,
		Target: a.Call.Target,
		Host:   a.Call.Host,
		Header: a.forwarder.dialect.AttemptHeader(a.Call, a.Attempt),
		Body:   a.Call.Body,
	}
	if err := a.channel.Send(&request); err != nil {
		return nil, err
	}
	return a.channel.Receive(a.Call.Method, a.FirstEventTimeout, func(r *http.Response) bool {
		id := a.forwarder.dialect.DecodeResponse(r.StatusCode, r.Header).ID
		return id == "" || id == a.Call.ID
	})
}

func (a *attempt) pass(response *http.Response) error {
	answer := a.forwarder.dialect.DecodeResponse(response.StatusCode, response.Header)
	a.keep = answer.KeepAlive
	switch {
	case answer.WrongEndpoint:
		return a.skip(response, errMisplaced)
	case answer.NotRun:
		return a.skip(response, errDeclined)
	case answer.Status >= http.StatusInternalServerError:
		return a.hold(response)
	case answer.Status >= http.StatusMultipleChoices:
		return a.whole(response)
	case answer.ID == "":
		return wharfhttpconn.ErrMalformed
	case a.Streaming:
		return a.stream(response)
	}
	return a.whole(response)
}

// skip reads an answer that is not passed on, so that the connection can be used again.
func (a *attempt) skip(response *http.Response, reason error) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxFailure)); err != nil {
		a.channel.Close()
		response.Close = true
	}
	return reason
}

// hold keeps a failure, which is passed on only if the request is not tried elsewhere.
func (a *attempt) hold(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxFailure))
	if err != nil {
		return wharfhttpconn.ClassifyReadError(err)
	}
	a.outcome.ErrorResponse = &ErrorResponse{Status: response.StatusCode, Header: response.Header, Body: body}
	return errFailed
}

// whole passes on an answer that is no stream.
func (a *attempt) whole(response *http.Response) error {
	if err := a.begin(response); err != nil {
		return err
	}
	buffer := make([]byte, copyBuffer)
	for {
		a.channel.SetReadTimeout(a.IdleTimeout)
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if a.to.WriteBody(buffer[:n]) != nil {
				return errCallerGone
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

func (a *attempt) begin(response *http.Response) error {
	if a.outcome.TimeToFirstEvent == 0 {
		a.outcome.TimeToFirstEvent = time.Since(a.started)
	}
	if a.HeaderWritten || a.outcome.Started {
		a.outcome.Started = true
		return nil
	}
	a.outcome.Started = true
	if a.to.WriteHeader(response.StatusCode, response.Header) != nil {
		return errCallerGone
	}
	return nil
}

// stream passes whole events on, and what follows the last one if the answer ends in order.
func (a *attempt) stream(response *http.Response) error {
	scanner := wharfframes.NewScanner(response.Body)
	for {
		event, err := scanner.Next()
		if errors.Is(err, io.EOF) {
			return a.end(response, scanner.Buffered())
		}
		if err != nil {
			return wharfhttpconn.ClassifyReadError(err)
		}
		if err := a.event(response, event, scanner.Ready()); err != nil {
			return err
		}
		a.channel.SetReadTimeout(a.IdleTimeout)
	}
}

func (a *attempt) event(response *http.Response, event wharfframes.Event, more bool) error {
	known := a.Attempt.Resumes || a.outcome.Events > 0
	if event.HasNumber && known && event.Number != a.outcome.LastEvent+1 {
		return errSequence
	}
	if err := a.begin(response); err != nil {
		return err
	}
	if a.to.WriteEvent(event, more) != nil {
		return errCallerGone
	}
	a.outcome.Events++
	if event.HasNumber {
		a.outcome.LastEvent = event.Number
	}
	return nil
}

// end finishes a stream; bytes after the last whole event show that it was cut off.
func (a *attempt) end(response *http.Response, rest []byte) error {
	if len(rest) > 0 {
		return wharfhttpconn.ErrConnectionBroken
	}
	return a.begin(response)
}

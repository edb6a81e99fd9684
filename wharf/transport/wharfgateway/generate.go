package wharfgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/protocol/wharfevents"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/transport/wharfendpointclient"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

const maxResponseBytes = 32 << 20

// generation is the state of a request for generated text across its attempts.
type generation struct {
	server          *Server
	request         *authenticatedRequest
	parsed          *wharfapi.Generation
	body            []byte
	fingerprint     uint64
	avoid           map[string]bool // names of endpoints that have failed this request
	mayHaveRun      bool            // an endpoint may have run the request
	responseStarted bool            // some of the response was sent to the caller
	lastToken       time.Time
}

// generate serves a completion or chat completion request.
func (s *Server) generate(w http.ResponseWriter, r *authenticatedRequest) error {
	received, err := s.readBody(w, r.Request, r.token)
	if err != nil {
		return err
	}
	defer received.Memory.Release()
	body := received.Data
	parsed, err := wharfapi.ParseGeneration(body)
	if err != nil {
		return err
	}
	service := r.snapshot.Model(parsed.Model)
	if service == nil {
		return wharfrefusal.New(http.StatusNotFound, "model-not-found",
			fmt.Sprintf("there is no model %q; GET /v1/models lists them", parsed.Model))
	}
	g := &generation{
		server:      s,
		request:     r,
		parsed:      parsed,
		body:        body,
		fingerprint: wharfpoison.Fingerprint(r.organisation.Name, service.Name, body),
		avoid:       map[string]bool{},
	}
	if s.options.Crashes.Blocked(g.fingerprint, time.Now()) {
		return errCrashesEndpoints
	}
	if err := s.admit(r); err != nil {
		return err
	}
	return g.run(w)
}

// run tries endpoints until one has answered, as long as nothing was sent to the caller and the limits of attempts and
// the retry budget allow it.
func (g *generation) run(w http.ResponseWriter) error {
	s := g.server
	for attempt := 1; ; attempt++ {
		e, err := g.acquireSlot()
		if err != nil {
			return err
		}
		err = g.tryEndpoint(w, e)
		s.options.Gate.Release(e, e.Config().Service)
		if err == nil {
			s.recordSuccess(e, g.request)
			s.options.Crashes.Clear(g.fingerprint)
			return nil
		}
		if g.responseStarted {
			g.abort(w, err)
		}
		if final := g.handleFailure(e, err); final != nil {
			return final
		}
		if attempt >= s.options.Limits.MaxAttempts || !s.options.Budget.Retry() {
			return endpointRefusal(err, g.mayHaveRun)
		}
		s.options.Metrics.Count("retries")
	}
}

func (s *Server) recordSuccess(e *wharfpick.Endpoint, r *authenticatedRequest) {
	e.Succeed()
	s.options.Budget.Succeed()
	s.options.Metrics.Record(r.organisation.Name, wharfmetrics.Online, wharfmetrics.Total, time.Since(r.started))
}

func (g *generation) acquireSlot() (*wharfpick.Endpoint, error) {
	now := time.Now()
	e, wait, err := g.server.options.Gate.Acquire(g.request.Context(), wharfgate.Request[*wharfpick.Endpoint]{
		Service:      g.parsed.Model,
		Organisation: g.request.organisation.Name,
		Weight:       g.request.organisation.Weight,
		MaxWait:      g.server.options.Limits.QueueTimeout,
		Pick: g.server.pickFunc(wharfpick.Request{
			Service:    g.parsed.Model,
			Affinity:   g.parsed.Affinity(),
			Avoid:      g.avoid,
			PreferIdle: g.server.options.Crashes.Suspect(g.fingerprint, now),
		}),
	})
	if err != nil {
		if g.mayHaveRun {
			return nil, errEndpointFailed.WithRetryAfter(wait)
		}
		return nil, gateRefusal(err, wait)
	}
	g.server.options.Metrics.Record(wharfmetrics.AllOrganisations, wharfmetrics.Online, wharfmetrics.QueueWait,
		time.Since(now))
	return e, nil
}

// handleFailure records a failed attempt and returns the final refusal, or nil if the request may be retried.
func (g *generation) handleFailure(e *wharfpick.Endpoint, err error) error {
	s := g.server
	if cause := context.Cause(g.request.Context()); cause != nil {
		return cause
	}
	var refusal *wharfrefusal.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	notSent := errors.Is(err, wharfendpointclient.ErrNotSent)
	e.Fail(notSent || errors.Is(err, wharfendpointclient.ErrConnectionBroken), time.Now())
	s.options.Metrics.Count("endpoint-faults")
	g.avoid[e.Config().Name] = true
	if notSent {
		return nil
	}
	g.mayHaveRun = true
	if errors.Is(err, wharfendpointclient.ErrConnectionBroken) || errors.Is(err, wharfevents.ErrCutShort) {
		s.options.ReportCrash(g.fingerprint, e.Running() == 0)
		if s.options.Crashes.Blocked(g.fingerprint, time.Now()) {
			return errCrashesEndpoints.MayHaveRun()
		}
	}
	return nil
}

// tryEndpoint sends the request to an endpoint and forwards its response.
func (g *generation) tryEndpoint(w http.ResponseWriter, e *wharfpick.Endpoint) error {
	s := g.server
	id := g.request.id
	response, err := s.options.Client.Send(g.request.Context(), wharfendpointclient.Request{
		Endpoint:         e.Config(),
		Method:           http.MethodPost,
		Path:             g.request.URL.Path,
		Header:           http.Header{"Content-Type": {"application/json"}},
		Body:             g.body,
		RequestID:        id,
		FirstByteTimeout: s.options.Limits.FirstByteTimeout,
		IdleTimeout:      s.options.Limits.IdleTimeout,
	})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return g.handleErrorStatus(response)
	}
	if g.parsed.Stream {
		return g.forwardStream(w, response)
	}
	return g.forwardResponse(w, response)
}

// handleErrorStatus turns a client error into the final refusal, and a server error or status 429 into a fault of the
// endpoint.
func (g *generation) handleErrorStatus(response *wharfendpointclient.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests {
		return fmt.Errorf("endpoint responded with status %d", response.StatusCode)
	}
	return wharfrefusal.New(response.StatusCode, "refused-by-model", string(data))
}

const maxErrorBodyBytes = 1 << 16

// readResponse reads the body of a response that is forwarded as a whole.
func readResponse(response *wharfendpointclient.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		return nil, errResponseTooLong
	}
	return data, err
}

// errResponseTooLong means that a response is longer than is kept. Its first part is not forwarded, since it would look whole.
var errResponseTooLong = fmt.Errorf("endpoint responded with more than %d bytes", maxResponseBytes)

// forwardResponse reads the whole response, and checks that it is complete and belongs to this request before it
// forwards any of it.
func (g *generation) forwardResponse(w http.ResponseWriter, response *wharfendpointclient.Response) error {
	data, err := readResponse(response)
	if err != nil {
		return err
	}
	chunk, err := wharfapi.ParseChunk(data)
	if err != nil {
		return wharfevents.ErrCutShort
	}
	if !chunk.BelongsTo(g.request.id) {
		return wharfendpointclient.ErrResponseMismatch
	}
	g.recordToken()
	g.responseStarted = true
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	_, _ = w.Write(data)
	return nil
}

// forwardStream forwards events as they arrive, after checking that each belongs to this request.
func (g *generation) forwardStream(w http.ResponseWriter, response *wharfendpointclient.Response) error {
	reader := wharfevents.NewReader(response.Body)
	flusher := http.NewResponseController(w)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return g.writeEvent(w, flusher, []byte("[DONE]"))
		}
		if err != nil {
			return err
		}
		chunk, err := wharfapi.ParseChunk(event)
		if err != nil || !chunk.BelongsTo(g.request.id) {
			return wharfendpointclient.ErrResponseMismatch
		}
		if chunk.Failed() {
			return fmt.Errorf("endpoint sent an error event: %s", chunk.Error)
		}
		g.recordToken()
		if err := g.writeEvent(w, flusher, event); err != nil {
			return err
		}
	}
}

// writeEvent sends an event to the caller; it returns context.Canceled if the caller does not accept it.
func (g *generation) writeEvent(w http.ResponseWriter, flusher *http.ResponseController, event []byte) error {
	if !g.responseStarted {
		g.responseStarted = true
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
	}
	line := make([]byte, 0, len("data: ")+len(event)+len("\n\n"))
	line = append(line, "data: "...)
	line = append(line, event...)
	line = append(line, "\n\n"...)
	_ = flusher.SetWriteDeadline(time.Now().Add(g.server.options.Limits.IdleTimeout))
	if _, err := w.Write(line); err != nil {
		return context.Canceled
	}
	return flusher.Flush()
}

// recordToken records the time to the first token, or the time since the previous one.
func (g *generation) recordToken() {
	now := time.Now()
	name := g.request.organisation.Name
	if g.lastToken.IsZero() {
		g.server.options.Metrics.Record(name, wharfmetrics.Online, wharfmetrics.FirstToken, now.Sub(g.request.started))
	} else {
		g.server.options.Metrics.Record(name, wharfmetrics.Online, wharfmetrics.BetweenTokens, now.Sub(g.lastToken))
	}
	g.lastToken = now
}

// abort ends a response that was started: it sends an error event to a stream and panics with http.ErrAbortHandler, so
// that the response does not look complete.
func (g *generation) abort(w http.ResponseWriter, err error) {
	refusal := refusalOf(endpointRefusal(err, true))
	if cause := context.Cause(g.request.Context()); cause != nil {
		refusal = refusalOf(cause)
	}
	g.server.options.Metrics.Count("aborted/" + refusal.Code)
	if g.parsed.Stream {
		_ = g.writeEvent(w, http.NewResponseController(w), refusal.JSON())
	}
	panic(http.ErrAbortHandler)
}

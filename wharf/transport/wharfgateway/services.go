package wharfgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfonce"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/transport/wharfendpointclient"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

const (
	idempotencyHeader      = "Idempotency-Key"
	maxStoredResponseBytes = 256 << 10
	maxIdempotencyKeyBytes = 256
	openOrganisation       = "open"
)

// Headers that are forwarded. All others, in particular credentials, are dropped.
var (
	forwardedRequestHeaders = []string{
		"Accept", "Accept-Language", "Content-Language", "Content-Type", "If-Modified-Since", "If-None-Match", "Range",
	}
	forwardedResponseHeaders = []string{
		"Cache-Control", "Content-Disposition", "Content-Language", "Content-Range", "Content-Type", "Etag",
		"Last-Modified", "Location", "Retry-After",
	}
)

// serviceCall is a request to a plain service.
type serviceCall struct {
	server       *Server
	request      *http.Request
	route        *wharfconfig.Route
	service      string
	organisation string
	weight       float64 // in the queue for endpoints
	path         string
	body         []byte
	id           string
	started      time.Time
	sent         bool // part of the request may have reached an endpoint
}

// serveService serves a request to a plain service, on an open route or with a key.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	snapshot := s.options.Snapshot()
	if snapshot == nil {
		s.refuse(w, r, errFenced.WithRetryAfter(time.Second))
		return
	}
	service := snapshot.Services[r.PathValue("name")]
	path := "/" + r.PathValue("path")
	if service == nil || service.Kind != wharfconfig.KindPlain || service.Route(path) == nil {
		s.refuse(w, r, errNoRoute)
		return
	}
	c := &serviceCall{
		server:       s,
		route:        service.Route(path),
		service:      service.Name,
		organisation: openOrganisation,
		weight:       1,
		path:         path,
		started:      time.Now(),
	}
	if c.route.Open {
		s.serveOpenRoute(w, r, c)
		return
	}
	s.handle(func(w http.ResponseWriter, r *authenticatedRequest) error {
		if err := s.admit(r); err != nil {
			return err
		}
		c.organisation = r.organisation.Name
		c.weight = r.organisation.Weight
		c.id = r.id
		return c.run(w, r.Request, r.token)
	})(w, r)
}

// serveOpenRoute serves a request that needs no key.
func (s *Server) serveOpenRoute(w http.ResponseWriter, r *http.Request, c *serviceCall) {
	token, _ := bearerToken(r)
	c.id = uuid.NewString()
	w.Header().Set(wharfapi.RequestIDHeader, c.id)
	if err := c.run(w, r, token); err != nil {
		s.refuse(w, r, err)
	}
}

// run reads the body and sends the request, with a reservation if it must run at most once.
func (c *serviceCall) run(w http.ResponseWriter, r *http.Request, token string) error {
	body, err := c.server.readBody(w, r, token)
	if err != nil {
		return err
	}
	defer body.Memory.Release()
	c.request = r
	c.body = body.Data
	if !c.route.Repeatable && r.Header.Get(idempotencyHeader) != "" {
		return c.runIdempotent(w)
	}
	return c.tryEndpoints(w, c.forwardResponse)
}

// runIdempotent sends a request at most once across all hosts, and responds to a resend with the stored response.
func (c *serviceCall) runIdempotent(w http.ResponseWriter) error {
	key := c.request.Header.Get(idempotencyHeader)
	if len(key) > maxIdempotencyKeyBytes {
		return wharfrefusal.New(http.StatusBadRequest, "bad-input",
			fmt.Sprintf("an idempotency key has at most %d bytes", maxIdempotencyKeyBytes))
	}
	request := wharfonce.Request{
		Organisation:   c.organisation,
		Service:        c.service,
		IdempotencyKey: key,
		RequestID:      c.id,
		Fingerprint:    c.fingerprint(),
	}
	stored, err := c.server.options.Reservations.Reserve(c.request.Context(), request)
	if err != nil {
		return reservationRefusal(err)
	}
	if stored != nil {
		w.Header().Set("Content-Type", stored.ContentType)
		w.WriteHeader(stored.StatusCode)
		_, _ = w.Write(stored.Body)
		return nil
	}
	return c.runReserved(w, request)
}

// fingerprint returns a hash by which a resend is told from another request with the same idempotency key. The path is decoded,
// so that it may contain what stands between the parts.
func (c *serviceCall) fingerprint() string {
	path := (&url.URL{Path: c.path}).EscapedPath()
	return wharfconfig.Hash([]byte(c.request.Method + " " + path + "?" + c.request.URL.RawQuery + "\n" + string(c.body)))
}

// reservationRefusal maps the error of a failed reservation to a refusal. If the store does not tell whether the key is
// reserved, an earlier request with the key may have run.
func reservationRefusal(err error) error {
	if errors.Is(err, wharfonce.ErrReserved) || errors.Is(err, wharfonce.ErrKeyReused) {
		return err
	}
	return errPlatform.WithRetryAfter(time.Second).MayHaveRun()
}

// runReserved sends a request that has a reservation, and frees the reservation if nothing was sent.
func (c *serviceCall) runReserved(w http.ResponseWriter, request wharfonce.Request) error {
	err := c.tryEndpoints(w, func(w http.ResponseWriter, response *wharfendpointclient.Response) error {
		return c.storeAndForward(w, request, response)
	})
	if err != nil && !c.sent {
		if err := c.server.options.Reservations.Release(c.request.Context(), request); err != nil {
			klog.V(1).InfoS("failed to free reservation", "request-id", c.id, "error", err.Error())
		}
	}
	return err
}

// storeAndForward stores the response before it forwards it, so that a resend gets the same response. Responses of more
// than maxStoredResponseBytes are not stored.
func (c *serviceCall) storeAndForward(
	w http.ResponseWriter, request wharfonce.Request, response *wharfendpointclient.Response,
) error {
	data, err := readResponse(response)
	if err != nil {
		return err
	}
	if len(data) <= maxStoredResponseBytes {
		err := c.server.options.Reservations.SaveResponse(c.request.Context(), request, response.StatusCode,
			response.Header.Get("Content-Type"), data)
		if err != nil {
			klog.V(1).InfoS("failed to store response for resends", "request-id", c.id, "error", err.Error())
		}
	}
	copyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(data)
	return nil
}

// tryEndpoints sends the request to endpoints until one answers or no further attempt is allowed.
func (c *serviceCall) tryEndpoints(
	w http.ResponseWriter, handle func(http.ResponseWriter, *wharfendpointclient.Response) error,
) error {
	s := c.server
	avoid := map[string]bool{}
	for attempt := 1; ; attempt++ {
		e, wait, err := s.options.Gate.Acquire(c.request.Context(), wharfgate.Request[*wharfpick.Endpoint]{
			Service:      c.service,
			Organisation: c.organisation,
			Weight:       c.weight,
			MaxWait:      s.options.Limits.QueueTimeout,
			Pick:         s.pickFunc(wharfpick.Request{Service: c.service, Avoid: avoid}),
		})
		if err != nil {
			if c.sent {
				return errEndpointFailed.WithRetryAfter(wait)
			}
			return gateRefusal(err, wait)
		}
		err = c.tryEndpoint(w, e, handle)
		s.options.Gate.Release(e, e.Config().Service)
		if err == nil {
			e.Succeed()
			s.options.Budget.Succeed()
			s.options.Metrics.Record(c.organisation, wharfmetrics.Service, wharfmetrics.Total, time.Since(c.started))
			return nil
		}
		if cause := context.Cause(c.request.Context()); cause != nil {
			return cause
		}
		connectFailed := errors.Is(err, wharfendpointclient.ErrNotSent)
		e.Fail(connectFailed || errors.Is(err, wharfendpointclient.ErrConnectionBroken), time.Now())
		avoid[e.Config().Name] = true
		mayRepeat := c.route.Repeatable || !c.sent
		if !mayRepeat || attempt >= s.options.Limits.MaxAttempts || !s.options.Budget.Retry() {
			return endpointRefusal(err, c.sent)
		}
		s.options.Metrics.Count("retries")
	}
}

// tryEndpoint sends the request to an endpoint and hands the response to handle.
func (c *serviceCall) tryEndpoint(
	w http.ResponseWriter, e *wharfpick.Endpoint, handle func(http.ResponseWriter, *wharfendpointclient.Response) error,
) error {
	s := c.server
	header := http.Header{}
	for _, name := range forwardedRequestHeaders {
		if values := c.request.Header.Values(name); len(values) > 0 {
			header[name] = slices.Clone(values)
		}
	}
	response, err := s.options.Client.Send(c.request.Context(), wharfendpointclient.Request{
		Endpoint:         e.Config(),
		Method:           c.request.Method,
		Path:             c.path,
		Query:            c.request.URL.RawQuery,
		Header:           header,
		Body:             c.body,
		RequestID:        c.id,
		NewConnection:    !c.route.Repeatable,
		FirstByteTimeout: s.options.Limits.FirstByteTimeout,
		IdleTimeout:      s.options.Limits.IdleTimeout,
	})
	if err != nil {
		if !errors.Is(err, wharfendpointclient.ErrNotSent) {
			c.sent = true
		}
		return err
	}
	c.sent = true
	defer func() { _ = response.Body.Close() }()
	return handle(w, response)
}

// forwardResponse streams the response to the caller. If the endpoint's connection breaks, it panics with
// http.ErrAbortHandler to break the caller's as well.
func (c *serviceCall) forwardResponse(w http.ResponseWriter, response *wharfendpointclient.Response) error {
	copyHeader(w.Header(), response.Header)
	if response.Length >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(response.Length))
	}
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// copyHeader copies the headers of a response that may be forwarded.
func copyHeader(to, from http.Header) {
	for _, name := range forwardedResponseHeaders {
		if values := from.Values(name); len(values) > 0 {
			to[name] = slices.Clone(values)
		}
	}
}

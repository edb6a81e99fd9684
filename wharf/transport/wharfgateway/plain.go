package wharfgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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
	idempotencyHeader = "Idempotency-Key"
	maxKept           = 256 << 10
	maxKeyBytes       = 256
	openName          = "open"
)

// Headers that are passed on; everything else stays here, credentials above all.
var (
	passedIn  = []string{"Accept", "Accept-Language", "Content-Language", "Content-Type", "If-Modified-Since", "If-None-Match", "Range"}
	passedOut = []string{"Cache-Control", "Content-Disposition", "Content-Language", "Content-Range", "Content-Type", "Etag", "Last-Modified", "Location", "Retry-After"}
)

// call is one request to a plain service.
type call struct {
	server       *Server
	request      *http.Request
	route        *wharfconfig.Route
	service      string
	organisation string
	weight       float64
	path         string
	body         []byte
	id           string
	started      time.Time
	sent         bool // some byte may have reached an endpoint
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	snapshot := s.options.Snapshot()
	if snapshot == nil {
		s.refuse(w, errFenced.WithRetryAfter(time.Second))
		return
	}
	service := snapshot.Services[r.PathValue("name")]
	path := "/" + r.PathValue("path")
	if service == nil || service.Kind != wharfconfig.KindPlain || service.Route(path) == nil {
		s.refuse(w, errNoRoute)
		return
	}
	c := &call{server: s, route: service.Route(path), service: service.Name, organisation: openName, weight: 1, path: path, started: time.Now()}
	if c.route.Open {
		s.plainOpen(w, r, c)
		return
	}
	s.handle(func(w http.ResponseWriter, r *keyed) error {
		if err := s.admit(r); err != nil {
			return err
		}
		c.organisation = r.organisation.Name
		c.weight = r.organisation.Weight
		c.id = r.id
		return c.run(w, r.Request, r.token)
	})(w, r)
}

func (s *Server) plainOpen(w http.ResponseWriter, r *http.Request, c *call) {
	token, _ := bearer(r)
	c.id = uuid.NewString()
	w.Header().Set(wharfapi.RequestIDHeader, c.id)
	if err := c.run(w, r, token); err != nil {
		s.refuse(w, err)
	}
}

func (c *call) run(w http.ResponseWriter, r *http.Request, token string) error {
	body, err := c.server.readBody(w, r, token)
	if err != nil {
		return err
	}
	c.request = r
	c.body = body
	if !c.route.Repeatable && r.Header.Get(idempotencyHeader) != "" {
		return c.once(w)
	}
	return c.tries(w, c.pass)
}

// once sends a request at most once over all hosts, and answers a resend with what was kept.
func (c *call) once(w http.ResponseWriter) error {
	key := c.request.Header.Get(idempotencyHeader)
	if len(key) > maxKeyBytes {
		return wharfrefusal.New(http.StatusBadRequest, "bad-input", fmt.Sprintf("an idempotency key has at most %d bytes", maxKeyBytes))
	}
	fingerprint := wharfconfig.Hash([]byte(c.request.Method + " " + c.path + "?" + c.request.URL.RawQuery + "\n" + string(c.body)))
	request := wharfonce.Request{
		Organisation:   c.organisation,
		Service:        c.service,
		IdempotencyKey: key,
		RequestID:      c.id,
		Fingerprint:    fingerprint,
	}
	kept, err := c.server.options.Reservations.Reserve(c.request.Context(), request)
	if err != nil {
		return notSent(err)
	}
	if kept != nil {
		w.Header().Set("Content-Type", kept.ContentType)
		w.WriteHeader(kept.StatusCode)
		_, _ = w.Write(kept.Body)
		return nil
	}
	return c.reserved(w, request)
}

// notSent says of a failed reservation that nothing was sent: the store's lost reply is no doubt about the request.
func notSent(err error) error {
	if errors.Is(err, wharfonce.ErrReserved) || errors.Is(err, wharfonce.ErrKeyReused) {
		return err
	}
	return errPlatform.WithRetryAfter(time.Second)
}

func (c *call) reserved(w http.ResponseWriter, request wharfonce.Request) error {
	err := c.tries(w, func(w http.ResponseWriter, response *wharfendpointclient.Response) error {
		return c.keep(w, request, response)
	})
	if err != nil && !c.sent {
		if err := c.server.options.Reservations.Release(c.request.Context(), request); err != nil {
			klog.V(1).InfoS("reservation not freed", "request-id", c.id, "error", err.Error())
		}
	}
	return err
}

// keep stores the answer before it is passed on, so that a resend gets the same one.
func (c *call) keep(w http.ResponseWriter, request wharfonce.Request, response *wharfendpointclient.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return err
	}
	if len(data) <= maxKept {
		err := c.server.options.Reservations.SaveResponse(c.request.Context(), request, response.StatusCode, response.Header.Get("Content-Type"), data)
		if err != nil {
			klog.V(1).InfoS("answer not kept", "request-id", c.id, "error", err.Error())
		}
	}
	passHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(data)
	return nil
}

// tries sends the request to one endpoint, and to others while that is allowed.
func (c *call) tries(w http.ResponseWriter, answer func(http.ResponseWriter, *wharfendpointclient.Response) error) error {
	s := c.server
	avoid := map[string]bool{}
	for attempt := 1; ; attempt++ {
		e, wait, err := s.options.Gate.Acquire(c.request.Context(), wharfgate.Request[*wharfpick.Endpoint]{
			Service:      c.service,
			Organisation: c.organisation,
			Weight:       c.weight,
			MaxWait:      s.options.Limits.QueueTimeout,
			Pick:         s.picking(wharfpick.Request{Service: c.service, Avoid: avoid}),
		})
		if err != nil {
			if c.sent {
				return errEndpoint.WithRetryAfter(wait)
			}
			return gateRefusal(err, wait)
		}
		err = c.try(w, e, answer)
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
		unreached := errors.Is(err, wharfendpointclient.ErrNotSent)
		e.Fail(unreached || errors.Is(err, wharfendpointclient.ErrConnectionBroken), time.Now())
		avoid[e.Config().Name] = true
		mayRepeat := c.route.Repeatable || !c.sent
		if !mayRepeat || attempt >= s.options.Limits.MaxAttempts || !s.options.Budget.Retry() {
			return endpointRefusal(err, c.sent)
		}
		s.options.Metrics.Count("retries")
	}
}

func (c *call) try(w http.ResponseWriter, e *wharfpick.Endpoint, answer func(http.ResponseWriter, *wharfendpointclient.Response) error) error {
	s := c.server
	header := http.Header{}
	for _, name := range passedIn {
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
	return answer(w, response)
}

// pass streams the answer on; if it breaks off, so does the caller's connection.
func (c *call) pass(w http.ResponseWriter, response *wharfendpointclient.Response) error {
	passHeader(w.Header(), response.Header)
	if response.Length >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(response.Length))
	}
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func passHeader(to, from http.Header) {
	for _, name := range passedOut {
		if values := from.Values(name); len(values) > 0 {
			to[name] = slices.Clone(values)
		}
	}
}

package wharffrontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/coordination/wharflimiter"
	"wagtailwharf.example/wharf/protocol/wharfdialect"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharftimeout"
	"wagtailwharf.example/wharf/transport/wharfforwarder"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

const (
	// trustedAge is the age of a configuration up to which an unknown key or route is refused for good; an older one
	// may lack what was added since.
	trustedAge = 4 * time.Second
	// defaultBody bounds a body in bytes until a configuration says otherwise.
	defaultBody = 4 << 20
	// defaultLimit is how long a caller is served that does not say how long it waits, on a route without a timeout.
	defaultLimit = 30 * time.Second
)

var (
	errNoConfiguration = wharfrefusal.New(http.StatusServiceUnavailable, "no-configuration", "this host knows no configuration yet; try another")
	errNotSure         = wharfrefusal.New(http.StatusServiceUnavailable, "configuration-stale", "this host has not heard of the configuration for a while and does not know the key or route")
	errNoRoute         = wharfrefusal.New(http.StatusNotFound, "unknown-route", "no route leads there")
	errNoKey           = wharfrefusal.New(http.StatusUnauthorized, "bad-key", "this key is not granted; ask your operator for one")
	errOverRate        = wharfrefusal.New(http.StatusTooManyRequests, "over-rate", "the organisation is over its rate; come back later")
	errTooLarge        = wharfrefusal.New(http.StatusRequestEntityTooLarge, "too-large", "the request is larger than this deployment allows")
	errLongHeader      = wharfrefusal.New(http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "the request's header is larger than this deployment allows")
	errCutShort        = wharfrefusal.New(http.StatusBadRequest, "cut-short", "the request's body was cut short")
	errMalformed       = wharfrefusal.New(http.StatusBadRequest, "malformed", "the request can not be read")
	errBusy            = wharfrefusal.New(http.StatusServiceUnavailable, "busy", "all slots are taken; come back later")
	errNoEndpoint      = wharfrefusal.New(http.StatusServiceUnavailable, "no-endpoint", "no endpoint of the service works at present")
	errDeclined        = wharfrefusal.New(http.StatusServiceUnavailable, "declined", "the endpoints have not run the request; come back later")
	errTooLate         = wharfrefusal.New(http.StatusServiceUnavailable, "too-late", "the request could not start within its time")
	errTimeout         = wharfrefusal.New(http.StatusGatewayTimeout, "timeout", "the endpoint did not answer within the route's time").MayHaveRun()
	errEndpoint        = wharfrefusal.New(http.StatusBadGateway, "endpoint-failed", "the endpoint did not give a whole answer").MayHaveRun()
	errPoison          = wharfrefusal.New(http.StatusInternalServerError, "crashes-endpoints", "this request crashes the endpoints that run it and is not run again")
)

// errRouteTimeout is the cause of a context that ends with the route's time, and errCallerTime with the caller's.
var (
	errRouteTimeout = errors.New("the route's timeout has passed")
	errCallerTime   = errors.New("the caller's time has passed")
)

// Options are a server's parts.
type Options struct {
	Dialect          wharfdialect.Dialect
	Table            func() *wharfroute.Table // nil until a configuration is known
	ConfigurationAge func() time.Duration     // of the configuration
	Limiter          *wharflimiter.Limiter
	Fleet            *wharffleet.Fleet
	Gate             *wharfgate.Gate[*wharffleet.Placement]
	Forwarder        *wharfforwarder.Forwarder
	Crashes          *wharfpoison.Tracker
	Jobs             *wharfjobstore.Store
	Metrics          *wharfmetrics.Metrics
	// ReportCrash tells other hosts of an endpoint that crashed under a request.
	ReportCrash func(fingerprint uint64, alone bool)
	// PreemptBatchItem asks for a batch item at an endpoint to be stopped.
	PreemptBatchItem func(endpoint string)
}

// Server is the handler of callers' requests.
type Server struct {
	options Options
	leaving atomic.Bool
	running atomic.Int64
}

// New returns a server.
func New(options Options) *Server {
	return &Server{options: options}
}

// StartDraining has every answer close its connection from now on.
func (s *Server) StartDraining() {
	s.leaving.Store(true)
}

// InFlight returns the requests that are being served.
func (s *Server) InFlight() int {
	return int(s.running.Load())
}

// request is a caller's request on its way.
type request struct {
	server       *Server
	call         wharfcall.Call
	table        *wharfroute.Table
	route        *wharfroute.Route
	organisation *wharfroute.Organisation // nil on open routes
	writer       http.ResponseWriter
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	call := s.options.Dialect.DecodeCall(r)
	call.Arrived = time.Now()
	q := &request{server: s, call: call, table: s.options.Table(), writer: w}
	if err := q.serve(r); err != nil {
		q.refuse(err)
	}
}

func (q *request) serve(r *http.Request) error {
	s := q.server
	if q.table == nil {
		q.drain(r)
		return q.later(errNoConfiguration)
	}
	if limit := q.table.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		q.drain(r)
		return errLongHeader
	}
	job, isJob, err := s.options.Dialect.DecodeJobCall(r)
	if isJob && q.takesJobs() {
		if err != nil {
			return errMalformed
		}
		return q.serveJob(r, job)
	}
	q.route = q.table.Find(q.call.Host, q.call.Path)
	if q.route == nil {
		q.drain(r)
		return q.unknown(errNoRoute)
	}
	if err := q.identify(); err != nil {
		q.drain(r)
		return err
	}
	if err := q.readBody(r); err != nil {
		return err
	}
	if q.route.Kind == wharfroute.Batch {
		return q.submit(r.Context())
	}
	return q.forward(r.Context())
}

// headerSize returns the size of a request's line and header in bytes, as they are sent.
func headerSize(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// takesJobs reports whether the host name has a route for batch jobs.
func (q *request) takesJobs() bool {
	for _, r := range q.table.HostRoutes(q.call.Host) {
		if r.Kind == wharfroute.Batch {
			return true
		}
	}
	return false
}

// identify finds the organisation that holds the request's key.
func (q *request) identify() error {
	if (q.route != nil && q.route.Open) || !q.table.RequiresKey() {
		return nil
	}
	q.organisation = q.table.KeyOwner(q.call.Key)
	if q.organisation == nil {
		return q.unknown(errNoKey)
	}
	return nil
}

// unknown refuses what the configuration does not know, for good only if the configuration is fresh.
func (q *request) unknown(refusal *wharfrefusal.Refusal) error {
	if q.server.options.ConfigurationAge() > trustedAge {
		return q.later(errNotSure)
	}
	return refusal
}

func (q *request) later(refusal *wharfrefusal.Refusal) error {
	return refusal.WithExactRetryAfter(wharftimeout.UnavailableRetryAfter(q.left()))
}

// left returns how long the caller and the route still give the request.
func (q *request) left() time.Duration {
	limit := q.call.Timeout
	if q.route != nil && q.route.Timeout > 0 && q.route.Kind != wharfroute.Batch {
		if limit == 0 || q.route.Timeout < limit {
			limit = q.route.Timeout
		}
	}
	if limit == 0 {
		limit = defaultLimit
	}
	return limit - time.Since(q.call.Arrived)
}

// context returns a context that ends with the route's or the caller's time.
func (q *request) context(parent context.Context) (context.Context, context.CancelFunc) {
	cause := errCallerTime
	if q.route.Timeout > 0 && (q.call.Timeout == 0 || q.route.Timeout < q.call.Timeout) {
		cause = errRouteTimeout
	}
	return context.WithTimeoutCause(parent, q.left(), cause)
}

func (q *request) readBody(r *http.Request) error {
	limit := q.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		return errTooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errTooLarge
	}
	if err != nil {
		return errCutShort
	}
	q.call.Body = body
	return nil
}

// drain reads the body of a request that is refused, so that the caller gets the answer.
func (q *request) drain(r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, defaultBody)); err != nil {
		klog.V(1).InfoS("refused request was cut short", "request-id", q.call.ID, "error", err.Error())
	}
}

// refuse answers with a refusal and logs it.
func (q *request) refuse(err error) {
	refusal := wharfrefusal.FromError(err)
	q.server.options.Metrics.Count("refused/" + refusal.Code)
	klog.InfoS("request refused", "request-id", q.call.ID, "organisation", q.organisationName(), "route", q.routeName(),
		"status", refusal.Status, "code", refusal.Code, "run-state", string(refusal.RunState), "return-in", refusal.RetryAfter.String(),
		"after", time.Since(q.call.Arrived).String(), "configuration-version", q.version(), "configuration-age", q.server.options.ConfigurationAge().String())
	q.server.options.Dialect.WriteRefusal(q.writer, refusal)
}

func (q *request) version() uint64 {
	if q.table == nil {
		return 0
	}
	return q.table.Version
}

func (q *request) organisationName() string {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name
}

func (q *request) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

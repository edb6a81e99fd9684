package wharffrontend

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/coordination/wharflimiter"
	"wagtailwharf.example/wharf/coordination/wharforigins"
	"wagtailwharf.example/wharf/protocol/wharfdialect"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfcrash"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfpace"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharftimeout"
	"wagtailwharf.example/wharf/transport/wharfbody"
	"wagtailwharf.example/wharf/transport/wharfforwarder"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

const (
	// maxTrustedAge is the age of a configuration up to which an unknown key or route is refused permanently. An older
	// configuration may lack recent additions, so the caller is told to retry.
	maxTrustedAge = 4 * time.Second
	// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxEndpointsAge is the age of what is known of the endpoints up to which a stream that a caller takes up is placed: an
	// endpoint may have started again with another version since. It is longer than the store holds a poll without changes.
	maxEndpointsAge = 2 * time.Second
	// stoppingRetryAfter is the retry delay of a request that another host can serve at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

var (
	errNoConfiguration = wharfrefusal.New(http.StatusServiceUnavailable, "no-configuration",
		"this host knows no configuration yet; try another")
	errConfigurationStale = wharfrefusal.New(http.StatusServiceUnavailable, "configuration-stale",
		"this host has not heard of the configuration for a while and does not know the key or route")
	errNoRoute = wharfrefusal.New(http.StatusNotFound, "unknown-route", "no route leads there")
	errBadKey  = wharfrefusal.New(http.StatusUnauthorized, "bad-key",
		"this key is not granted; ask your operator for one")
	errOverRate = wharfrefusal.New(http.StatusTooManyRequests, "over-rate",
		"the organisation is over its rate; come back later")
	errRateUnknown = wharfrefusal.New(http.StatusServiceUnavailable, "rate-unknown",
		"the hosts that know what the organisation has used of its rate do not answer; come back later")
	errTooLarge = wharfrefusal.New(http.StatusRequestEntityTooLarge, "too-large",
		"the request is larger than this deployment allows")
	errHeaderTooLarge = wharfrefusal.New(http.StatusRequestHeaderFieldsTooLarge, "header-too-large",
		"the request's header is larger than this deployment allows")
	errNoMemory = wharfrefusal.New(http.StatusServiceUnavailable, "no-memory",
		"this host has no memory left for the request; come back later")
	errTooSlow = wharfrefusal.New(http.StatusRequestTimeout, "too-slow",
		"the request's body arrives more slowly than this host allows")
	errBodyTruncated = wharfrefusal.New(http.StatusBadRequest, "cut-short", "the request's body was cut short")
	errMalformed     = wharfrefusal.New(http.StatusBadRequest, "malformed", "the request can not be read")
	errBusy          = wharfrefusal.New(http.StatusServiceUnavailable, "busy",
		"all slots are taken; come back later")
	errAllCold = wharfrefusal.New(http.StatusServiceUnavailable, "all-cold",
		"all endpoints have just started and get few requests; come back later")
	errNoEndpoint = wharfrefusal.New(http.StatusServiceUnavailable, "no-endpoint",
		"no endpoint of the service works at present")
	errNoRegion = wharfrefusal.New(http.StatusServiceUnavailable, "no-endpoint-in-region",
		"no endpoint works at present in a region in which the request may run")
	errVersionUnknown = wharfrefusal.New(http.StatusServiceUnavailable, "stream-version-unknown",
		"the version that began the stream is not known, so that it can not continue")
	errVersionGone = wharfrefusal.New(http.StatusServiceUnavailable, "stream-version-gone",
		"no endpoint of the version that began the stream works at present, so that it can not continue")
	errOutdated = wharfrefusal.New(http.StatusServiceUnavailable, "zones-unknown",
		"this host was suspended and does not know yet which zones are evacuated; try another")
	errDeclined = wharfrefusal.New(http.StatusServiceUnavailable, "declined",
		"the endpoints have not run the request; come back later")
	errTooLate = wharfrefusal.New(http.StatusServiceUnavailable, "too-late",
		"the request could not start within its time")
	errTimeout = wharfrefusal.New(http.StatusGatewayTimeout, "timeout",
		"the endpoint did not answer within the route's time").MayHaveRun()
	errEndpointFailed = wharfrefusal.New(http.StatusBadGateway, "endpoint-failed",
		"the endpoint did not give a whole answer").MayHaveRun()
	errStopping = wharfrefusal.New(http.StatusServiceUnavailable, "stopping",
		"this host is about to stop; send the request again on a new connection")
	errCrashesEndpoints = wharfrefusal.New(http.StatusInternalServerError, "crashes-endpoints",
		"requests like this one crash the endpoints that run them and are not run")
)

// Causes of a request context's end: errRouteTimeout for the route's timeout, errCallerTimeout for the caller's own.
var (
	errRouteTimeout  = errors.New("route timeout exceeded")
	errCallerTimeout = errors.New("caller timeout exceeded")
)

// Options are a server's dependencies.
type Options struct {
	Dialect          wharfdialect.Dialect
	Table            func() *wharfroute.Table // nil until a configuration is known
	ConfigurationAge func() time.Duration     // time since the configuration was last known to be current
	EndpointsAge     func() time.Duration     // time since the endpoints were last known to be current
	// AwaitCurrent waits a short time until this host follows the evacuated zones, and reports whether it does; see
	// wharfdirectory.
	AwaitCurrent func(ctx context.Context) bool
	// Evacuates reports whether endpoints of a service and version get no requests because their zone is evacuated.
	Evacuates func(origin wharfcall.Origin) bool
	Limiter   *wharflimiter.Limiter
	Gate      *wharfgate.Gate[*wharffleet.Placement]
	Allocator *wharfallocator.Allocator
	Forwarder *wharfforwarder.Forwarder
	Origins   *wharforigins.Origins
	Crashes   *wharfcrash.Tracker
	Jobs      *wharfjobstore.Store
	Metrics   *wharfmetrics.Metrics
	Paces     *wharfpace.Paces // learns from answers; nil for none
	Bodies    *wharfbody.Reader
	Memory    *wharfmemory.Account // for bodies, responses about jobs and the decoding of submissions
	// ReportCrash records that an endpoint crashed under a request that it had not begun to answer. It returns the number of
	// crashes counted against the request.
	ReportCrash func(request wharfcrash.Request, endpoint wharffleet.Endpoint) int
	// ReportAnswer records that an endpoint has begun to answer a request.
	ReportAnswer func(request wharfcrash.Request)
	// TryBlocked reports whether a request with a blocked identity may be run, to see whether it still crashes endpoints.
	TryBlocked func(id wharfcrash.Identity) bool
}

// Server is the HTTP handler of callers' requests.
type Server struct {
	options      Options
	draining     atomic.Bool
	stopAt       atomic.Pointer[time.Time] // nil unless requests that may last longer are refused
	bodies       context.Context           // done when bodies that still arrive are given up
	giveUpBodies context.CancelFunc
	inFlight     atomic.Int64
}

// New returns a server.
func New(options Options) *Server {
	bodies, giveUpBodies := context.WithCancel(context.Background())
	return &Server{options: options, bodies: bodies, giveUpBodies: giveUpBodies}
}

// StartDraining makes every further response close its connection, before a planned stop.
func (s *Server) StartDraining() {
	s.draining.Store(true)
}

// RefuseOutlasting refuses, as not run, each further request that could still be running at stopAt, and then the requests
// whose bodies have not arrived.
func (s *Server) RefuseOutlasting(stopAt time.Time) {
	s.stopAt.Store(&stopAt)
	time.AfterFunc(time.Until(stopAt), s.giveUpBodies)
}

// endsBeforeStop returns an error if a request that may take as long as limit could outlast a planned stop.
func (q *request) endsBeforeStop(limit time.Duration) error {
	stopAt := q.server.stopAt.Load()
	if stopAt == nil || time.Until(*stopAt) >= limit {
		return nil
	}
	return errStopping.WithExactRetryAfter(stoppingRetryAfter)
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// request is the state of a caller's request while it is served.
type request struct {
	server       *Server
	call         wharfcall.Call
	table        *wharfroute.Table
	route        *wharfroute.Route
	organisation *wharfroute.Organisation // nil on open routes
	writer       http.ResponseWriter
	memory       *wharfmemory.Reservation // nil until the body is read
	unread       bool                     // the body was not read to its end, so that the connection is closed
}

// ServeHTTP routes one request and serves or refuses it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call := s.options.Dialect.DecodeCall(r)
	call.Arrived = time.Now()
	q := &request{server: s, call: call, table: s.options.Table(), writer: w}
	q.limitReading(r)
	q.limitWriting(min(q.remaining(), defaultTimeout))
	defer q.releaseMemory()
	err := q.serve(r)
	if err != nil {
		q.refuse(err)
	}
	if q.unread {
		q.releaseMemory()
		s.options.Bodies.Linger(w, r)
	}
}

// releaseMemory gives the memory of the request back.
func (q *request) releaseMemory() {
	if q.memory != nil {
		q.memory.Release()
	}
}

// connectionMargin is how much longer than its request a connection may take to be read and written.
const connectionMargin = 500 * time.Millisecond

// limitReading bounds the time in which the caller must send a body that is not read by a wharfbody.Reader.
func (q *request) limitReading(r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	deadline := time.Now().Add(min(q.remaining(), defaultTimeout) + connectionMargin)
	if err := http.NewResponseController(q.writer).SetReadDeadline(deadline); err != nil {
		klog.V(1).InfoS("failed to limit a caller's connection", "request-id", q.call.ID, "error", err.Error())
	}
}

// limitWriting bounds the time in which the caller must read the response, so that one that stalls holds neither memory nor a
// slot for longer than its deadline. Until the route is known, the deadline is at most the default one, whatever the caller
// asks for.
func (q *request) limitWriting(limit time.Duration) {
	deadline := time.Now().Add(limit + connectionMargin)
	connection := http.NewResponseController(q.writer)
	err := connection.SetWriteDeadline(deadline)
	if err != nil {
		klog.V(1).InfoS("failed to limit a caller's connection", "request-id", q.call.ID, "error", err.Error())
	}
}

func (q *request) serve(r *http.Request) error {
	s := q.server
	if q.table == nil {
		q.discardBody(r)
		return q.withRetryAfter(errNoConfiguration)
	}
	if limit := q.table.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		q.discardBody(r)
		return errHeaderTooLarge
	}
	job, isJob, err := s.options.Dialect.DecodeJobCall(r)
	if isJob && (q.acceptsJobs() || q.ownsJob(job.JobID)) {
		q.discardBody(r)
		if err != nil {
			return errMalformed
		}
		return q.serveJob(r, job)
	}
	q.route = q.table.Find(q.call.Host, q.call.Path)
	if q.route == nil {
		q.discardBody(r)
		return q.refuseUnknown(errNoRoute)
	}
	if err := q.authenticate(); err != nil {
		q.discardBody(r)
		return err
	}
	q.limitWriting(q.remaining())
	if err := q.readBody(r); err != nil {
		return err
	}
	if q.route.Kind == wharfroute.Batch {
		return q.submit(r.Context())
	}
	if err := q.endsBeforeStop(q.remaining()); err != nil {
		return err
	}
	if q.continues() {
		s.options.Metrics.Count("streams-taken-up")
	}
	return q.forward(r.Context())
}

// headerSize returns the size in bytes of a request's line and header on the wire.
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

// acceptsJobs reports whether the requested host name has a route for batch jobs.
func (q *request) acceptsJobs() bool {
	for _, r := range q.table.HostRoutes(q.call.Host) {
		if r.Kind == wharfroute.Batch {
			return true
		}
	}
	return false
}

// ownsJob reports whether the request's key belongs to the organisation of a job that this host knows, or may belong to that of
// a job because the request matches no route. Jobs are read after their host name has lost its routes.
func (q *request) ownsJob(id string) bool {
	organisation := ""
	if q.table.RequiresKey() {
		owner := q.table.KeyOwner(q.call.Key)
		if owner == nil {
			return false
		}
		organisation = owner.Name
	}
	if q.table.Find(q.call.Host, q.call.Path) == nil {
		return true
	}
	_, known := q.server.options.Jobs.Cached(organisation, id)
	return known
}

// authenticate finds the organisation that holds the request's key, unless the route is open or no keys are configured.
func (q *request) authenticate() error {
	if (q.route != nil && q.route.Open) || !q.table.RequiresKey() {
		return nil
	}
	q.organisation = q.table.KeyOwner(q.call.Key)
	if q.organisation == nil {
		return q.refuseUnknown(errBadKey)
	}
	return nil
}

// refuseUnknown refuses a key or route that is not in the configuration. The refusal is permanent only if the
// configuration is fresh; otherwise the caller is told to retry.
func (q *request) refuseUnknown(refusal *wharfrefusal.Refusal) error {
	if q.server.options.ConfigurationAge() > maxTrustedAge {
		return q.withRetryAfter(errConfigurationStale)
	}
	return refusal
}

// withRetryAfter adds the time after which the caller should retry to a refusal.
func (q *request) withRetryAfter(refusal *wharfrefusal.Refusal) error {
	return refusal.WithExactRetryAfter(wharftimeout.UnavailableRetryAfter(q.remaining()))
}

// remaining returns the time until the earlier of the caller's and the route's deadline.
func (q *request) remaining() time.Duration {
	limit := q.call.Timeout
	if q.route != nil && q.route.Timeout > 0 && q.route.Kind != wharfroute.Batch {
		if limit == 0 || q.route.Timeout < limit {
			limit = q.route.Timeout
		}
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	return limit - time.Since(q.call.Arrived)
}

// context returns a context that ends at the earlier of the route's and the caller's deadline, with the matching cause.
func (q *request) context(parent context.Context) (context.Context, context.CancelFunc) {
	cause := errCallerTimeout
	if q.route.Timeout > 0 && (q.call.Timeout == 0 || q.route.Timeout < q.call.Timeout) {
		cause = errRouteTimeout
	}
	return context.WithTimeoutCause(parent, q.remaining(), cause)
}

// readBody reads the request body, up to the configured size limit, until the request's deadline.
func (q *request) readBody(r *http.Request) error {
	limit := q.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	deadline := time.Now().Add(q.remaining() + connectionMargin)
	body, err := q.server.options.Bodies.Read(q.server.bodies, q.writer, r, limit, deadline)
	q.memory = body.Memory
	if err != nil {
		q.discardBody(r)
		return q.bodyRefusal(err)
	}
	q.call.Body = body.Data
	return nil
}

// bodyRefusal maps errors of a body that was not read.
func (q *request) bodyRefusal(err error) error {
	switch {
	case errors.Is(err, wharfbody.ErrTooLarge):
		return errTooLarge
	case errors.Is(err, wharfmemory.ErrExhausted):
		return q.withRetryAfter(errNoMemory)
	case errors.Is(err, wharfbody.ErrGivenUp):
		return errStopping.WithExactRetryAfter(stoppingRetryAfter)
	case errors.Is(err, wharfbody.ErrTooSlow):
		return errTooSlow
	}
	return errBodyTruncated
}

// discardBody reads a short rest of the body of a refused request. If there is more, the response closes the connection.
func (q *request) discardBody(r *http.Request) {
	q.unread = !q.server.options.Bodies.Settle(q.writer, r)
}

// refuse responds with a refusal, counts it and logs it.
func (q *request) refuse(err error) {
	refusal := wharfrefusal.FromError(err)
	q.server.options.Metrics.Count("refused/" + refusal.Code)
	if q.continues() {
		q.server.options.Metrics.Count("streams-refused/" + refusal.Code)
	}
	klog.InfoS("request refused", q.logFields("status", refusal.Status, "code", refusal.Code, "run-state", string(refusal.RunState),
		"return-in", refusal.RetryAfter.String(),
		"after", time.Since(q.call.Arrived).String(), "configuration-version", q.configurationVersion(),
		"configuration-age", q.server.options.ConfigurationAge().String())...)
	q.server.options.Dialect.WriteRefusal(q.writer, refusal)
}

// continues reports whether the caller takes up a stream of which it has events.
func (q *request) continues() bool {
	return q.call.Resumes && q.call.LastEvent > 0 && q.route != nil && q.route.Kind == wharfroute.Streaming
}

// logFields returns the fields of a log line that say which request it is about, followed by others.
func (q *request) logFields(others ...any) []any {
	fields := []any{"request-id", q.call.ID, "organisation", q.organisationName(), "route", q.routeName()}
	if q.continues() {
		fields = append(fields, "stream", q.call.StreamID, "continues-after", q.call.LastEvent)
	}
	return append(fields, others...)
}

func (q *request) configurationVersion() uint64 {
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

package wharffrontend

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharflimiter"
	"wagtailwharf.example/wharf/protocol/wharfframes"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfcrash"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharftimeout"
	"wagtailwharf.example/wharf/transport/wharfforwarder"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

// hopByHopHeaders are not forwarded, since they apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// online is the state of a forwarded request across its attempts.
type online struct {
	*request
	service          string
	version          string   // version that the stream can continue at, "" before its first event
	regions          []string // in which the request may run, nil for all
	identities       wharfcrash.Request
	trial            bool            // the request has a blocked identity, and its first attempt is the trial of it
	status           int             // of the response forwarded to the caller
	attemptEvents    int             // events of the current attempt that have been forwarded
	answered         bool            // an endpoint has begun to answer
	avoid            map[string]bool // IDs of endpoints not to try again
	sends            int             // attempts so far
	runs             int             // attempts that the endpoint may have run
	started          bool            // some of a response was forwarded to the caller
	lastEvent        int             // number of the last event that the caller has
	events           int             // number of events forwarded to the caller
	timeToFirstEvent time.Duration
	queueTime        time.Duration // over all attempts
	endpoint         string        // ID of the endpoint of the last attempt
	endpointVersion  string        // version of that endpoint
	placementLoad    endpointLoad  // load of that endpoint at placement, as known to this host
	endpointLimit    float64       // limit that its last response named, or wharfcall.NoLimit
	crashes          int           // crashes counted under this request after the last attempt, 0 if that was none
}

// forward serves an online request by forwarding it to endpoints.
func (q *request) forward(parent context.Context) error {
	ctx, cancel := q.context(parent)
	defer cancel()
	o := &online{
		request: q, service: q.route.PickService(), regions: wharfroute.Regions(q.route, q.organisation),
		avoid: map[string]bool{}, lastEvent: q.call.LastEvent,
	}
	o.identities = wharfcrash.NewRequest(
		q.organisationName(), q.call.Host+q.call.Target, q.call.Body, q.call.SharedParts)
	if verdict, blocked := q.server.options.Crashes.Blocked(o.identities, time.Now()); blocked {
		if o.trial = q.server.options.TryBlocked(verdict.Identity); !o.trial {
			return o.refuseBlocked(verdict)
		}
	}
	if q.continues() {
		if err := o.findOrigin(ctx); err != nil {
			return err
		}
	}
	if err := q.admit(ctx); err != nil {
		return err
	}
	return o.run(ctx)
}

// findOrigin restricts a stream that the caller takes up to the service and version that began it.
func (o *online) findOrigin(ctx context.Context) error {
	origin, err := o.server.options.Origins.Find(ctx, o.organisationName(), o.call.StreamID, o.route)
	if err != nil {
		klog.InfoS("origin of stream not known", o.logFields("error", err.Error())...)
		return o.withRetryAfter(errVersionUnknown)
	}
	if !o.route.HasTarget(origin.Service) {
		return o.withRetryAfter(errVersionGone)
	}
	o.service, o.version = origin.Service, origin.Version
	return nil
}

// admit enforces the organisation's rate limit.
func (q *request) admit(ctx context.Context) error {
	if q.organisation == nil {
		return nil
	}
	d := q.server.options.Limiter.Admit(ctx, wharflimiter.Admission{
		Organisation: q.organisation.Name, Continues: q.continues(),
	})
	if d.Admitted {
		return nil
	}
	event, refusal := "request over rate", errOverRate
	if d.Undecided {
		event, refusal = "rate not known to this host", errRateUnknown
	}
	klog.InfoS(event, "request-id", q.call.ID, "organisation", q.organisation.Name, "level", d.Level, "pulled", d.Pulled,
		"holders", d.HostCount, "rate", q.organisation.Rate, "configuration-version", q.table.Version)
	return refusal.WithExactRetryAfter(wharftimeout.CapRetryAfter(d.RetryAfter, q.remaining()))
}

// run tries endpoints until the request is answered or no further attempt is allowed.
func (o *online) run(ctx context.Context) error {
	for {
		if !o.server.options.AwaitCurrent(ctx) && ctx.Err() == nil {
			return o.refuseOutdated()
		}
		placement, err := o.acquireSlot(ctx)
		if err != nil {
			return o.refuseUnplaced(ctx, err)
		}
		if verdict, blocked := o.blocked(); blocked {
			o.server.options.Gate.Release(placement, o.service)
			return o.refuseBlocked(verdict)
		}
		if o.version != "" && !placement.Registered() {
			o.server.options.Gate.Release(placement, o.service)
			continue // this host was suspended, and the endpoint may have another version since
		}
		if o.outOfStep() {
			o.server.options.Gate.Release(placement, o.service)
			klog.InfoS("endpoints not known to be current", o.logFields("age", o.server.options.EndpointsAge().String())...)
			return o.withRetryAfter(errVersionUnknown)
		}
		result := o.tryEndpoint(ctx, placement)
		o.server.options.Gate.Release(placement, o.service)
		if result.Outcome == 0 {
			o.recordSuccess()
			return nil
		}
		action := wharfoutcome.Next(result.Outcome, wharfoutcome.Request{
			Repeatable:  o.route.Repeatable(),
			Resumable:   o.route.Resumable && o.status == http.StatusOK, // a failure that was cut short is not continued
			Started:     o.started,
			Runs:        o.runs,
			Sends:       o.sends,
			MaxAttempts: o.route.MaxAttempts,
		})
		o.logAttempt(placement, result, action)
		if action == wharfoutcome.Retry || action == wharfoutcome.Resume {
			o.server.options.Metrics.Count("retries")
			continue
		}
		return o.finish(ctx, action, result)
	}
}

// refuseOutdated refuses a request because this host was suspended and does not know yet where it may be sent.
func (o *online) refuseOutdated() error {
	klog.InfoS("evacuated zones not known to be current", o.logFields("sends", o.sends, "runs", o.runs)...)
	switch {
	case o.started:
		return o.abortResponse("evacuated zones not known to be current")
	case o.runs > 0:
		return errEndpointFailed
	}
	return o.withRetryAfter(errOutdated)
}

// outOfStep reports whether a stream that the caller takes up may be placed at another version, because this host has not
// read the registrations lately.
func (o *online) outOfStep() bool {
	return o.continues() && !o.started && o.server.options.EndpointsAge() > maxEndpointsAge
}

// endpointLoad is the number of online requests and batch items that ran on an endpoint when a request was placed
// there, and its number of slots.
type endpointLoad struct {
	online, batch, slots int
}

// acquireSlot queues the request until an endpoint has a free slot or the queueing time is up.
func (o *online) acquireSlot(ctx context.Context) (*wharffleet.Placement, error) {
	start := time.Now()
	placement, err := o.server.options.Allocator.Acquire(ctx, wharfallocator.Request{
		Service:      o.service,
		Version:      o.version,
		Continues:    o.version != "",
		Organisation: o.organisationName(),
		Weight:       wharftimeout.QueueWeight(o.route, o.organisation),
		MaxWait:      wharftimeout.SlotWait(o.route, time.Since(o.call.Arrived), o.sends > 0 || o.continues()),
		Avoid:        o.avoid,
		LastAttempt:  !o.mayRetry(),
		Regions:      o.regions,
	})
	o.queueTime += time.Since(start)
	return placement, err
}

// refuseUnplaced refuses a request for which no endpoint was found.
func (o *online) refuseUnplaced(ctx context.Context, err error) error {
	if o.server.options.Evacuates(wharfcall.Origin{Service: o.service, Version: o.version}) && ctx.Err() == nil {
		o.server.options.Metrics.Count("unplaced-during-evacuation")
		klog.InfoS("no slot outside of the evacuated zones", o.logFields("service", o.service, "version", o.version)...)
	}
	switch {
	case o.started:
		return o.abortResponse("no endpoint of version " + o.version + " available to resume on")
	case o.runs > 0:
		return errEndpointFailed
	case ctx.Err() != nil:
		return o.refuseExpired(ctx)
	case errors.Is(err, wharfpick.ErrNoEndpoint) && o.version != "":
		return o.withRetryAfter(errVersionGone)
	case errors.Is(err, wharfpick.ErrNoEndpoint) && o.regions != nil:
		klog.InfoS("no endpoint in the allowed regions", o.logFields("service", o.service, "regions", o.regions)...)
		return o.withRetryAfter(errNoRegion)
	case errors.Is(err, wharfpick.ErrNoEndpoint):
		return o.withRetryAfter(errNoEndpoint)
	case errors.Is(err, wharfpick.ErrAllCold):
		o.server.options.Metrics.Count("refused-all-cold")
		rampUp := o.server.options.Allocator.RampUp(o.service)
		return errAllCold.WithExactRetryAfter(wharftimeout.RampUpRetryAfter(rampUp, o.remaining()))
	}
	return errBusy.WithExactRetryAfter(wharftimeout.RetryAfter(o.remaining()))
}

// refuseExpired handles a request whose deadline has passed or whose caller has disconnected. It panics with
// http.ErrAbortHandler if the caller has disconnected and no attempt can have run.
func (o *online) refuseExpired(ctx context.Context) error {
	if o.runs > 0 {
		return errTimeout
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		klog.InfoS("caller disconnected", "request-id", o.call.ID, "after", time.Since(o.call.Arrived).String(),
			"endpoint", o.endpoint)
		panic(http.ErrAbortHandler)
	}
	return o.withRetryAfter(errTooLate)
}

// tryEndpoint makes one attempt at the endpoint of a placement and records its outcome.
func (o *online) tryEndpoint(ctx context.Context, placement *wharffleet.Placement) wharfforwarder.Result {
	s := o.server
	o.endpoint, o.endpointVersion = placement.Endpoint.ID, placement.Endpoint.Version
	o.placementLoad = endpointLoad{online: placement.Online, batch: placement.Batch, slots: placement.Endpoint.Slots}
	first, gap := wharftimeout.IdleTimeouts(o.route, o.mayRetry(), o.remaining())
	o.sends++
	o.attemptEvents = 0
	result := s.options.Forwarder.Do(ctx, &wharfforwarder.Exchange{
		Call:              &o.call,
		Attempt:           o.attempt(placement),
		Address:           placement.Endpoint.Address,
		NonRepeatable:     !o.route.Repeatable(),
		HeaderWritten:     o.started,
		Streaming:         o.route.Kind == wharfroute.Streaming,
		FirstEventTimeout: first,
		IdleTimeout:       gap,
		StallTimeout:      wharftimeout.StallTimeout(o.route),
		MaySend:           placement.MaySend,
		OnStall:           func(stalled bool) { o.setStalled(placement, stalled) },
		OnResponse:        func(r wharfcall.Response) { o.hear(placement, r) },
	}, o)
	o.recordOutcome(placement, result)
	return result
}

// mayRetry reports whether another attempt is allowed if the next one fails.
func (o *online) mayRetry() bool {
	return o.route.Repeatable() && o.runs+1 < o.route.MaxAttempts
}

func (o *online) attempt(placement *wharffleet.Placement) wharfcall.Attempt {
	return wharfcall.Attempt{
		Endpoint:     placement.Endpoint.ID,
		Organisation: o.organisationName(),
		Remaining:    o.remaining(),
		LastEvent:    o.lastEvent,
		Resumes:      o.call.Resumes || o.events > 0,
	}
}

// setStalled records whether an endpoint is stalled. A stalled endpoint gets fewer requests.
func (o *online) setStalled(placement *wharffleet.Placement, stalled bool) {
	placement.SetStalled(stalled)
	klog.InfoS("endpoint stall state changed", "request-id", o.call.ID, "endpoint", placement.Endpoint.ID,
		"silent", stalled, "limit", wharftimeout.StallTimeout(o.route).String())
}

// recordOutcome updates the state of the request and of the endpoint after an attempt.
func (o *online) recordOutcome(placement *wharffleet.Placement, result wharfforwarder.Result) {
	o.crashes = 0
	o.started = o.started || result.Started
	if result.Started {
		o.version = placement.Endpoint.Version
	}
	o.lastEvent = result.LastEvent
	o.events += result.Events
	if o.timeToFirstEvent == 0 {
		o.timeToFirstEvent = result.TimeToFirstEvent
	}
	outcome := result.Outcome
	if outcome != 0 && !outcome.NotRun() {
		o.runs++
	}
	switch {
	case outcome == 0:
		placement.Succeed()
		o.noteAnswer()
		return
	case outcome == wharfoutcome.CallerGone:
		return
	case outcome.EndpointFault():
		placement.Fail(outcome)
	}
	o.avoid[placement.Endpoint.ID] = true
	if outcome == wharfoutcome.ConnectionLost {
		o.noteCrash(placement, result.Events)
	}
}

func (o *online) recordSuccess() {
	s := o.server
	total := time.Since(o.call.Arrived)
	s.options.Metrics.Record(o.organisationName(), wharfmetrics.Online, wharfmetrics.FirstToken,
		o.queueTime+o.timeToFirstEvent)
	s.options.Metrics.Record(o.organisationName(), wharfmetrics.Online, wharfmetrics.Total, total)
	if o.continues() {
		s.options.Metrics.Count("streams-continued")
	}
	klog.InfoS("request answered", o.logFields("endpoint", o.endpoint, "endpoint-version", o.endpointVersion,
		"endpoint-online", o.placementLoad.online, "endpoint-batch", o.placementLoad.batch,
		"endpoint-slots", o.placementLoad.slots, "endpoint-limit", o.endpointLimit, "sends", o.sends, "runs", o.runs, "events", o.events,
		"waited", o.queueTime.String(), "first", o.timeToFirstEvent.String(), "total", total.String(),
		"configuration-version", o.table.Version)...)
}

func (o *online) logAttempt(placement *wharffleet.Placement, result wharfforwarder.Result, action wharfoutcome.Action) {
	reason := ""
	if result.Err != nil {
		reason = result.Err.Error()
	}
	klog.InfoS("attempt failed", "request-id", o.call.ID, "organisation", o.organisationName(), "route", o.route.Name,
		"endpoint", placement.Endpoint.ID, "endpoint-version", placement.Endpoint.Version, "verdict", result.Outcome.String(), "next", action.String(),
		"sends", o.sends, "runs", o.runs, "events", o.events, "left", o.remaining().String(), "error", reason,
		"shared-parts", strings.Join(o.call.SharedParts, ","), "endpoint-suspect", placement.Suspect, "crashes", o.crashes)
}

// finish ends a request that is not retried.
func (o *online) finish(ctx context.Context, action wharfoutcome.Action, result wharfforwarder.Result) error {
	if o.started && action != wharfoutcome.Abandon {
		return o.abortResponse(result.Outcome.String())
	}
	switch action {
	case wharfoutcome.Abandon:
		if o.started {
			return o.abortResponse("deadline passed or caller disconnected")
		}
		return o.refuseExpired(ctx)
	case wharfoutcome.Refuse:
		return errDeclined.WithExactRetryAfter(wharftimeout.RetryAfter(o.remaining()))
	case wharfoutcome.PassThrough:
		return o.forwardErrorResponse(result.ErrorResponse)
	}
	return errEndpointFailed
}

// abortResponse panics with http.ErrAbortHandler, which closes the caller's connection so that the truncated response
// does not look complete.
func (o *online) abortResponse(reason string) error {
	o.server.options.Metrics.Count("cut-off")
	klog.InfoS("response aborted", "request-id", o.call.ID, "organisation", o.organisationName(), "route", o.route.Name,
		"endpoint", o.endpoint, "reason", reason, "events", o.events, "after", time.Since(o.call.Arrived).String())
	panic(http.ErrAbortHandler)
}

// forwardErrorResponse forwards the endpoint's own error response to the caller.
func (o *online) forwardErrorResponse(failure *wharfforwarder.ErrorResponse) error {
	if failure == nil {
		return errEndpointFailed
	}
	o.server.options.Metrics.Count("endpoint-failures-passed-on")
	if err := errors.Join(o.WriteHeader(failure.Status, failure.Header), o.WriteBody(failure.Body)); err != nil {
		klog.V(1).InfoS("caller disconnected before the endpoint's error response",
			"request-id", o.call.ID, "error", err.Error())
	}
	return nil
}

// WriteHeader forwards the status and header of the response.
func (o *online) WriteHeader(status int, header http.Header) error {
	o.status = status
	to := o.writer.Header()
	for name, values := range header {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
	if o.route.Kind == wharfroute.Streaming {
		to.Del("Content-Length") // the rest of the stream may come from another endpoint
	}
	if header["Content-Type"] == nil {
		to["Content-Type"] = nil // keeps net/http from sniffing a content type
	}
	o.writer.WriteHeader(status)
	return nil
}

// WriteEvent forwards a block of a stream, and flushes unless another one follows immediately.
func (o *online) WriteEvent(e wharfframes.Event, more bool) error {
	if e.HasData {
		o.noteEvent()
		defer o.noteBegun()
	}
	if _, err := o.writer.Write(e.Raw); err != nil {
		return err
	}
	if more {
		return nil
	}
	return http.NewResponseController(o.writer).Flush()
}

// noteEvent records the version that begins a stream.
func (o *online) noteEvent() {
	o.attemptEvents++
	if o.version != "" || !o.route.Resumable {
		return
	}
	o.version = o.endpointVersion
	o.server.options.Origins.Record(o.organisationName(), o.call.ID, o.route,
		wharfcall.Origin{Service: o.service, Version: o.version})
}

// noteBegun records that the endpoint has begun to answer, once it has sent enough events.
func (o *online) noteBegun() {
	if o.attemptEvents == begunEvents {
		o.noteAnswer()
	}
}

// WriteBody forwards a part of a response body.
func (o *online) WriteBody(data []byte) error {
	_, err := o.writer.Write(data)
	return err
}

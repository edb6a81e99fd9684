package wharffrontend

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/protocol/wharfframes"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharftimeout"
	"wagtailwharf.example/wharf/transport/wharfforwarder"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

// Headers that concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// online is a request that is forwarded, on its way through its attempts.
type online struct {
	*request
	service     string
	fingerprint uint64
	avoid       map[string]bool
	sends       int
	runs        int // attempts that may have run
	begun       bool
	lastEvent   int
	events      int // passed on
	first       time.Duration
	waited      time.Duration
	endpoint    string // of the last attempt
	besides     load   // what ran there by this host's knowledge
}

func (q *request) forward(parent context.Context) error {
	ctx, cancel := q.context(parent)
	defer cancel()
	o := &online{request: q, service: q.route.PickService(), avoid: map[string]bool{}, lastEvent: q.call.LastEvent}
	o.fingerprint = wharfpoison.Fingerprint(q.organisationName(), q.call.Host+q.call.Target, q.call.Body)
	if q.server.options.Crashes.Blocked(o.fingerprint, time.Now()) {
		return errPoison
	}
	if err := q.admit(ctx); err != nil {
		return err
	}
	return o.run(ctx)
}

// admit holds the organisation to its rate.
func (q *request) admit(ctx context.Context) error {
	if q.organisation == nil {
		return nil
	}
	d := q.server.options.Limiter.Admit(ctx, q.organisation.Name)
	if d.Admitted {
		return nil
	}
	klog.InfoS("request over rate", "request-id", q.call.ID, "organisation", q.organisation.Name, "level", d.Level,
		"pulled", d.Pulled, "holders", d.HostCount, "rate", q.organisation.Rate, "configuration-version", q.table.Version)
	return errOverRate.WithExactRetryAfter(wharftimeout.CapRetryAfter(d.RetryAfter, q.left()))
}

// run tries endpoints until the request is answered or given up.
func (o *online) run(ctx context.Context) error {
	for {
		placement, err := o.acquire(ctx)
		if err != nil {
			return o.unplaced(ctx, err)
		}
		outcome := o.try(ctx, placement)
		o.server.options.Gate.Release(placement, o.service)
		if outcome.Verdict == 0 {
			o.succeed()
			return nil
		}
		step := wharfoutcome.Next(outcome.Verdict, wharfoutcome.Request{
			Repeatable:  o.route.Repeatable(),
			Resumable:   o.route.Resumable,
			Started:     o.begun,
			Runs:        o.runs,
			Sends:       o.sends,
			MaxAttempts: o.route.MaxAttempts,
		})
		o.logAttempt(placement, outcome, step)
		if step == wharfoutcome.Retry && o.server.options.Crashes.Blocked(o.fingerprint, time.Now()) {
			return errPoison.MayHaveRun()
		}
		if step == wharfoutcome.Retry || step == wharfoutcome.Resume {
			o.server.options.Metrics.Count("retries")
			continue
		}
		return o.finish(ctx, step, outcome)
	}
}

// load is what an endpoint ran when a request was placed there.
type load struct {
	online, batch, slots int
}

func (o *online) acquire(ctx context.Context) (*wharffleet.Placement, error) {
	begun := time.Now()
	placement, _, err := o.server.options.Gate.Acquire(ctx, wharfgate.Request[*wharffleet.Placement]{
		Service:      o.service,
		Organisation: o.organisationName(),
		Weight:       wharftimeout.QueueWeight(o.route, o.organisation),
		MaxWait:      wharftimeout.SlotWait(o.route, time.Since(o.call.Arrived), o.sends > 0),
		Pick: func(time.Time) (*wharffleet.Placement, error) {
			return o.server.options.Fleet.Pick(wharffleet.Request{Service: o.service, Avoid: o.avoid, LastAttempt: !o.mayMove()})
		},
	})
	o.waited += time.Since(begun)
	return placement, err
}

// unplaced refuses a request for which no endpoint was found.
func (o *online) unplaced(ctx context.Context, err error) error {
	switch {
	case o.begun:
		return o.cutOff("no endpoint to go on at")
	case o.runs > 0:
		return errEndpoint
	case ctx.Err() != nil:
		return o.ended(ctx)
	case errors.Is(err, wharfpick.ErrNoEndpoint):
		return o.later(errNoEndpoint)
	}
	return errBusy.WithExactRetryAfter(wharftimeout.RetryAfter(o.left()))
}

// ended answers a request whose time is up, or whose caller has left.
func (o *online) ended(ctx context.Context) error {
	if o.runs > 0 {
		return errTimeout
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		klog.InfoS("caller left", "request-id", o.call.ID, "after", time.Since(o.call.Arrived).String(), "endpoint", o.endpoint)
		panic(http.ErrAbortHandler)
	}
	return o.later(errTooLate)
}

func (o *online) try(ctx context.Context, placement *wharffleet.Placement) wharfforwarder.Outcome {
	s := o.server
	o.endpoint = placement.Endpoint.ID
	o.besides = load{online: placement.Online, batch: placement.Batch, slots: placement.Endpoint.Slots}
	if placement.NeedsPreemption {
		s.options.PreemptBatchItem(placement.Endpoint.ID)
	}
	first, gap := wharftimeout.IdleTimeouts(o.route, o.mayMove(), o.left())
	o.sends++
	outcome := s.options.Forwarder.Do(ctx, &wharfforwarder.Exchange{
		Call:              &o.call,
		Attempt:           o.attempt(placement),
		Address:           placement.Endpoint.Address,
		NonRepeatable:     !o.route.Repeatable(),
		HeaderWritten:     o.begun,
		Streaming:         o.route.Kind == wharfroute.Streaming,
		FirstEventTimeout: first,
		IdleTimeout:       gap,
		SuspectAfter:      wharftimeout.StallTimeout(o.route),
		OnSuspect:         func(silent bool) { o.doubt(placement, silent) },
	}, o)
	o.account(placement, outcome)
	return outcome
}

// mayMove reports whether another attempt is left if the next one fails.
func (o *online) mayMove() bool {
	return o.route.Repeatable() && o.runs+1 < o.route.MaxAttempts
}

func (o *online) attempt(placement *wharffleet.Placement) wharfcall.Attempt {
	return wharfcall.Attempt{
		Endpoint:     placement.Endpoint.ID,
		Organisation: o.organisationName(),
		Remaining:    o.left(),
		LastEvent:    o.lastEvent,
		Resumes:      o.call.Resumes || o.events > 0,
	}
}

// doubt keeps further requests away from an endpoint for as long as it is silent.
func (o *online) doubt(placement *wharffleet.Placement, silent bool) {
	placement.SetStalled(silent)
	klog.InfoS("endpoint doubted", "request-id", o.call.ID, "endpoint", placement.Endpoint.ID, "silent", silent,
		"limit", wharftimeout.StallTimeout(o.route).String())
}

// account records what an attempt showed of the endpoint and of the request.
func (o *online) account(placement *wharffleet.Placement, outcome wharfforwarder.Outcome) {
	s := o.server
	o.begun = o.begun || outcome.Started
	o.lastEvent = outcome.LastEvent
	o.events += outcome.Events
	if o.first == 0 {
		o.first = outcome.TimeToFirstEvent
	}
	v := outcome.Verdict
	if v != 0 && !v.NotRun() {
		o.runs++
	}
	switch {
	case v == 0:
		placement.Succeed()
		return
	case v == wharfoutcome.CallerGone:
		return
	case v.EndpointFault():
		placement.Fail(v)
	}
	o.avoid[placement.Endpoint.ID] = true
	// A request that crashes endpoints does so as it starts. One that broke off others just before is broken by itself.
	if v == wharfoutcome.ConnectionLost && o.events == 0 && !placement.Suspect {
		s.options.ReportCrash(o.fingerprint, false)
	}
}

func (o *online) succeed() {
	s := o.server
	total := time.Since(o.call.Arrived)
	s.options.Metrics.Record(o.organisationName(), wharfmetrics.Online, wharfmetrics.FirstToken, o.waited+o.first)
	s.options.Metrics.Record(o.organisationName(), wharfmetrics.Online, wharfmetrics.Total, total)
	klog.InfoS("request answered", "request-id", o.call.ID, "organisation", o.organisationName(), "route", o.route.Name,
		"endpoint", o.endpoint, "endpoint-online", o.besides.online, "endpoint-batch", o.besides.batch,
		"endpoint-slots", o.besides.slots, "sends", o.sends, "runs", o.runs, "events", o.events, "waited", o.waited.String(),
		"first", o.first.String(), "total", total.String(), "configuration-version", o.table.Version)
}

func (o *online) logAttempt(placement *wharffleet.Placement, outcome wharfforwarder.Outcome, step wharfoutcome.Action) {
	reason := ""
	if outcome.Err != nil {
		reason = outcome.Err.Error()
	}
	klog.InfoS("attempt failed", "request-id", o.call.ID, "organisation", o.organisationName(), "route", o.route.Name,
		"endpoint", placement.Endpoint.ID, "verdict", outcome.Verdict.String(), "next", step.String(), "sends", o.sends,
		"runs", o.runs, "events", o.events, "left", o.left().String(), "error", reason)
}

// finish ends a request that is not tried again.
func (o *online) finish(ctx context.Context, step wharfoutcome.Action, outcome wharfforwarder.Outcome) error {
	if o.begun && step != wharfoutcome.Abandon {
		return o.cutOff(outcome.Verdict.String())
	}
	switch step {
	case wharfoutcome.Abandon:
		if o.begun {
			return o.cutOff("time is up or the caller has left")
		}
		return o.ended(ctx)
	case wharfoutcome.Refuse:
		return errDeclined.WithExactRetryAfter(wharftimeout.RetryAfter(o.left()))
	case wharfoutcome.PassThrough:
		return o.passOn(outcome.ErrorResponse)
	}
	return errEndpoint
}

// cutOff breaks the connection, so that the answer does not look complete.
func (o *online) cutOff(reason string) error {
	o.server.options.Metrics.Count("cut-off")
	klog.InfoS("answer cut off", "request-id", o.call.ID, "organisation", o.organisationName(), "route", o.route.Name,
		"endpoint", o.endpoint, "reason", reason, "events", o.events, "after", time.Since(o.call.Arrived).String())
	panic(http.ErrAbortHandler)
}

func (o *online) passOn(failure *wharfforwarder.ErrorResponse) error {
	if failure == nil {
		return errEndpoint
	}
	o.server.options.Metrics.Count("endpoint-failures-passed-on")
	if err := errors.Join(o.WriteHeader(failure.Status, failure.Header), o.WriteBody(failure.Body)); err != nil {
		klog.V(1).InfoS("caller left before the endpoint's failure", "request-id", o.call.ID, "error", err.Error())
	}
	return nil
}

// WriteHeader passes the status and header of the answer on.
func (o *online) WriteHeader(status int, header http.Header) error {
	to := o.writer.Header()
	for name, values := range header {
		if !slices.Contains(connectionHeaders, name) {
			to[name] = values
		}
	}
	if o.route.Kind == wharfroute.Streaming {
		to.Del("Content-Length") // the rest may come from another endpoint
	}
	if header["Content-Type"] == nil {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
	o.writer.WriteHeader(status)
	return nil
}

// WriteEvent passes an event on.
func (o *online) WriteEvent(e wharfframes.Event, more bool) error {
	if _, err := o.writer.Write(e.Raw); err != nil {
		return err
	}
	if more {
		return nil
	}
	return http.NewResponseController(o.writer).Flush()
}

// WriteBody passes a part of a body on.
func (o *online) WriteBody(data []byte) error {
	_, err := o.writer.Write(data)
	return err
}

package wharffrontend

import (
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfcrash"
	"wagtailwharf.example/wharf/state/wharffleet"
)

// begunEvents is the number of events from which an endpoint has begun to answer. One that a request crashes as it begins
// may have sent fewer.
const begunEvents = 2

// blocked returns the verdict against the request, unless its next attempt is a trial or continues an answer.
func (o *online) blocked() (wharfcrash.Verdict, bool) {
	if o.answered || o.trial && o.sends == 0 {
		return wharfcrash.Verdict{}, false
	}
	return o.server.options.Crashes.Blocked(o.identities, time.Now())
}

// refuseBlocked refuses a request that has crashed endpoints or is like others that have, or ends its response.
func (o *online) refuseBlocked(verdict wharfcrash.Verdict) error {
	klog.InfoS("request is blocked", "request-id", o.call.ID, "identity", verdict.Identity.String(),
		"crashes", verdict.Crashes, "age", time.Since(verdict.At).String(), "runs", o.runs,
		"shared-parts", strings.Join(o.call.SharedParts, ","))
	if o.started {
		return o.abortResponse("request is blocked")
	}
	if o.runs > 0 {
		return errCrashesEndpoints.MayHaveRun()
	}
	return errCrashesEndpoints
}

// noteAnswer records that an endpoint has begun to answer, or has answered. An error does not show that it runs the
// request.
func (o *online) noteAnswer() {
	if !o.answered && o.status < http.StatusMultipleChoices {
		o.answered = true
		o.server.options.ReportAnswer(o.identities)
	}
}

// noteCrash records that an endpoint was lost under the request before it had begun to answer. One at which other requests
// had failed shortly before is not held against the request.
func (o *online) noteCrash(placement *wharffleet.Placement, events int) {
	if !o.answered && events < begunEvents && !placement.Suspect {
		o.crashes = o.server.options.ReportCrash(o.identities, placement.Endpoint)
	}
}

// hear records what an endpoint says of itself.
func (o *online) hear(placement *wharffleet.Placement, r wharfcall.Response) {
	o.endpointLimit = r.RateLimit
	if placement.Hear(r) {
		klog.InfoS("endpoint announcement changed", "request-id", o.call.ID, "endpoint", placement.Endpoint.ID,
			"limit", r.RateLimit, "leaving", r.Leaving)
	}
}

package wharfsoak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	// responseEvents is the number of events in an endpoint's streamed response.
	responseEvents = 10
	// quietPeriod is how long a host must have been free of faults before guarantees with a time limit apply to it.
	quietPeriod = 4 * time.Second
	// configApplyLimit is the time within which a host must apply a new configuration.
	configApplyLimit = 3 * time.Second
	// maxResponseTime is the longest that a caller may wait for a response, including 500 ms of tolerance.
	maxResponseTime = 5500 * time.Millisecond
	// closeRaceWindow is the time within which a connection may close without a response because the request was sent
	// while the host was closing it.
	closeRaceWindow = 200 * time.Millisecond
	// maxAttempts is the number of endpoints that one request may be sent to.
	maxAttempts = 2
	// deadLetterFailures is the number of failures after which a batch item may be dead-lettered.
	deadLetterFailures = 3
	// limitWindow, limitTolerance and limitSlack bound the requests of a rate-limited organisation: within any window,
	// at most its rate and burst plus 10 %, plus limitSlack requests.
	limitWindow    = 5 * time.Second
	limitTolerance = 0.1
	limitSlack     = 20
	// minServedShare is the share of requests that must be served once every host has recovered.
	minServedShare = 0.99
)

// guaranteesNotRun reports whether an HTTP status guarantees that the request was not and will not be executed.
func guaranteesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest,
	}, status)
}

// faultFree reports whether neither the host nor the store had a fault from quietPeriod before from until to.
func (s *system) faultFree(h *host, from, to time.Time) bool {
	from = from.Add(-quietPeriod)
	return !h.faults.overlaps(from, to) && !h.plannedStops.overlaps(from, to) && !s.storeFaults.overlaps(from, to)
}

// check verifies the responses to all requests and jobs against what the endpoints have executed.
func (t *traffic) check(recoveredAt time.Time) {
	runs := map[string][]wharfstandin.Run{}
	for _, e := range t.system.endpoints {
		for _, instance := range e.instances {
			for _, run := range instance.Runs() {
				runs[run.ID] = append(runs[run.ID], run)
			}
		}
	}
	for _, r := range t.requests {
		t.checkRuns(r, runs[r.id])
		t.checkResponse(r, runs[r.id])
		t.checkAuthentication(r)
		t.checkVersions(r, runs[r.id], runs[r.id])
	}
	for _, a := range t.takeUps {
		t.checkTakeUp(&a, runs)
	}
	for _, j := range t.jobs {
		t.checkJob(j, runs)
	}
	t.checkRateLimit(runs)
	t.checkCrashingPrompts(runs)
	t.checkEvacuations()
	t.checkColdEndpoints()
	t.checkServedShare(recoveredAt)
}

// reportRequest adds a finding about a request, with its response and the number of its executions.
func (t *traffic) reportRequest(r *request, runs []wharfstandin.Run, format string, arguments ...any) {
	t.system.findings.add("%s at %s, status %d, error %v, after %v, %d runs: %s", r.id, r.host.name, r.response.Status,
		r.response.Err, r.endedAt.Sub(r.startedAt).Round(time.Millisecond), len(runs),
		fmt.Sprintf(format, arguments...))
}

// checkRuns checks that a request was executed at most as often as its route allows, unmodified, and not at all if it
// was refused as not run.
func (t *traffic) checkRuns(r *request, runs []wharfstandin.Run) {
	maxRuns := maxAttempts
	if r.route == "once" {
		maxRuns = 1
	}
	if len(runs) > maxRuns {
		t.reportRequest(r, runs, "executed more often than allowed")
	}
	if guaranteesNotRun(r.response.Status) && len(runs) > 0 {
		t.reportRequest(r, runs, "refused as not run, but was executed")
	}
	for _, run := range runs {
		if run.Path != "/"+r.route+"/"+r.id || run.Body != requestBody || run.Key != "" {
			t.reportRequest(r, runs, "request reached the endpoint modified or with its key: %+v", run)
		}
		if r.route != "open" && run.Organisation != r.organisation {
			t.reportRequest(r, runs, "executed for organisation %q", run.Organisation)
		}
	}
}

// checkResponse checks the status of a response, and its body against that of the endpoint.
func (t *traffic) checkResponse(r *request, runs []wharfstandin.Run) {
	response, want := r.response, wharfstandin.StreamBody(r.id, responseEvents)
	switch response.Status {
	case http.StatusOK:
		if response.Err == nil && (response.Body != want || response.Signature != "signed-"+r.id) {
			t.reportRequest(r, runs, "response differs from the endpoint's: %q", response.Body)
		}
		if response.Err != nil && !strings.HasPrefix(want, completeEvents(response.Body)) {
			t.reportRequest(r, runs, "partial response is not a prefix of the endpoint's: %q", response.Body)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if response.RetryAfter <= 0 {
			t.reportRequest(r, runs, "refused without a retry delay")
		}
	case http.StatusUnauthorized, http.StatusBadGateway, http.StatusGatewayTimeout, 0:
	case http.StatusInternalServerError:
		if len(runs) == 0 {
			t.reportRequest(r, runs, "got an internal error though no endpoint executed the request")
		}
	default:
		t.reportRequest(r, runs, "unexpected status")
	}
	t.checkCompletion(r, runs)
}

// completeEvents returns a response body up to the end of its last complete event.
func completeEvents(body string) string {
	const end = "\n\n"
	last := strings.LastIndex(body, end)
	if last < 0 {
		return ""
	}
	return body[:last+len(end)]
}

// checkCompletion checks that the response was complete and on time, unless a fault explains why it was not.
func (t *traffic) checkCompletion(r *request, runs []wharfstandin.Run) {
	from := r.startedAt.Add(-quietPeriod)
	if r.host.faults.overlaps(from, r.endedAt) {
		return
	}
	if r.endedAt.Sub(r.startedAt) > maxResponseTime {
		t.reportRequest(r, runs, "exceeded the response time limit")
	}
	if r.response.Err == nil || t.system.endpointFaulty(from, r.endedAt) {
		return
	}
	// A connection that is refused has brought no request to the host, however late a busy soak sees that.
	refused := errors.Is(r.response.Err, syscall.ECONNREFUSED)
	closeRace := len(runs) == 0 && (refused || r.endedAt.Sub(r.startedAt) <= closeRaceWindow)
	if !r.host.plannedStops.overlaps(from, r.endedAt) || !closeRace {
		t.reportRequest(r, runs, "response was incomplete without any fault")
	}
}

// checkVersions checks that a stream went on only at the version of the endpoint that the first response names. begun are
// the executions of its first attempt.
func (t *traffic) checkVersions(r *request, begun, runs []wharfstandin.Run) {
	first := slices.IndexFunc(begun, func(run wharfstandin.Run) bool { return run.Endpoint == r.response.Endpoint })
	for _, run := range runs {
		if run.LastEvent > 0 && r.response.Status == http.StatusOK && (first < 0 || run.Version != begun[first].Version) {
			t.system.findings.add("%s, begun at %q, goes on after event %d at %s of version %s", r.id, r.response.Endpoint,
				run.LastEvent, run.Endpoint, run.Version)
		}
	}
}

// checkTakeUp checks that a stream that a caller took up went on after the last event that the caller had, at the version
// that began it, or was refused without having run.
func (t *traffic) checkTakeUp(a *takeUp, runs map[string][]wharfstandin.Run) {
	status := a.response.Status
	if guaranteesNotRun(status) && len(runs[a.id]) > 0 {
		t.system.findings.add("%s refused as not run with status %d, but was executed", a.id, status)
	}
	t.checkVersions(a.stream, runs[a.stream.id], runs[a.id])
	if status != http.StatusOK || a.response.Err != nil {
		return
	}
	want := strings.TrimPrefix(wharfstandin.StreamBody(a.id, responseEvents), wharfstandin.StreamBody(a.id, a.lastEvent))
	if a.response.Body != want {
		t.system.findings.add("%s went on after event %d with %q", a.id, a.lastEvent, a.response.Body)
	}
	t.continued++
}

// checkAuthentication checks that valid API keys are accepted, and that unknown and revoked ones are refused.
func (t *traffic) checkAuthentication(r *request) {
	switch {
	case r.key == "unknown-key":
		if r.response.Err == nil && r.response.Status != http.StatusUnauthorized &&
			r.response.Status != http.StatusServiceUnavailable {
			t.reportRequest(r, nil, "unknown API key was not refused")
		}
	case r.response.Status == http.StatusUnauthorized &&
		!t.keyRevokedWithin(r.startedAt.Add(-quietPeriod-configApplyLimit), r.endedAt):
		if r.key != revocableKey || t.system.faultFree(r.host, r.startedAt, r.endedAt) {
			t.reportRequest(r, nil, "valid API key was refused")
		}
	case r.key == revocableKey && r.response.Status == http.StatusOK && t.keyRevokedFor(r.startedAt, configApplyLimit):
		if t.system.faultFree(r.host, r.startedAt.Add(-configApplyLimit), r.endedAt) {
			t.reportRequest(r, nil, "revoked API key was accepted")
		}
	}
}

// keyRevokedWithin reports whether the revocable key was revoked at any moment between two times. Revocations count
// from closeRaceWindow before the store's reply.
func (t *traffic) keyRevokedWithin(from, to time.Time) bool {
	return slices.ContainsFunc(t.system.revocations, func(s span) bool {
		return s.from.Add(-closeRaceWindow).Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// keyRevokedFor reports whether, at a time, the revocable key had been revoked for longer than duration.
func (t *traffic) keyRevokedFor(at time.Time, duration time.Duration) bool {
	return slices.ContainsFunc(t.system.revocations, func(s span) bool {
		return s.from.Add(duration).Before(at) && (s.to.IsZero() || s.to.After(at))
	})
}

// checkJob checks the executions of a job's items and the job's results.
func (t *traffic) checkJob(j *job, runs map[string][]wharfstandin.Run) {
	runCounts := map[string]int{}
	for _, item := range j.items {
		runCounts[item.ID] = len(runs[item.ID])
		if j.acceptedAt.IsZero() && j.guaranteedNotRun && len(runs[item.ID]) > 0 {
			t.system.findings.add("item %s was executed though every submission of %s was refused as not run", item.ID,
				j.id)
		}
		for _, run := range runs[item.ID] {
			t.checkItemRun(j, item, run)
		}
	}
	seen := map[string]bool{}
	for _, result := range j.results {
		if seen[result.ID] {
			t.system.findings.add("item %s is listed twice in the results of %s", result.ID, j.id)
		}
		seen[result.ID] = true
		t.checkResult(j, result, runCounts[result.ID])
	}
}

// checkItemRun checks that an item was executed unmodified and not after the cancellation of its job took effect.
func (t *traffic) checkItemRun(j *job, item wharfstandin.Item, run wharfstandin.Run) {
	if run.Path != "/batch/"+item.ID || run.Body != item.Body || run.Organisation != "lasting" || run.Key != "" {
		t.system.findings.add("item %s reached the endpoint modified: %+v", item.ID, run)
	}
	if j.cancelledAt.IsZero() || run.At.Before(j.cancelledAt.Add(cancelLimit)) {
		return
	}
	for _, h := range t.system.hosts {
		if !t.system.faultFree(h, j.cancelledAt, run.At) {
			return // this host may have started the item without having learned of the cancellation
		}
	}
	t.system.findings.add("item %s was executed %v after the cancellation of %s was acknowledged", item.ID,
		run.At.Sub(j.cancelledAt).Round(time.Millisecond), j.id)
}

// checkResult checks one result of a job, whose item was executed as often as runs says.
func (t *traffic) checkResult(j *job, result wharfstandin.JobResult, runs int) {
	index := slices.IndexFunc(j.items, func(i wharfstandin.Item) bool { return i.ID == result.ID })
	if index < 0 {
		t.system.findings.add("results of %s list %s, which is not one of its items", j.id, result.ID)
		return
	}
	var lines []string
	for event := 1; event <= responseEvents; event++ {
		lines = append(lines, wharfstandin.EventData(result.ID, event))
	}
	rejected := j.items[index].Body == rejectedBody
	switch {
	case result.State == wharfstandin.Completed && (rejected || result.Output != strings.Join(lines, "\n")):
		t.system.findings.add("item %s is listed with the wrong output: %q", result.ID, result.Output)
	case result.State == wharfstandin.DeadLetter && !rejected && runs < deadLetterFailures && j.cancelledAt.IsZero():
		t.system.findings.add("item %s was dead-lettered after %d runs", result.ID, runs)
	}
}

// checkRateLimit checks that the rate-limited organisation stayed within its limit, over all hosts, in any sliding
// window.
func (t *traffic) checkRateLimit(runs map[string][]wharfstandin.Run) {
	var starts []time.Time
	for _, r := range t.requests {
		if r.organisation == "limited" && len(runs[r.id]) > 0 {
			starts = append(starts, runs[r.id][0].At)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	limit := int((limitRate*limitWindow.Seconds()+limitBurst)*(1+limitTolerance)) + limitSlack
	first := 0
	for i, at := range starts {
		for at.Sub(starts[first]) > limitWindow {
			first++
		}
		if i-first+1 > limit {
			t.system.findings.add("the limited organisation had %d requests executed within %v, limit %d", i-first+1,
				limitWindow, limit)
			return
		}
	}
}

// servedShare is how many of a number of requests were served.
type servedShare struct {
	served, all int
}

// String returns "served of all".
func (s servedShare) String() string {
	return fmt.Sprintf("%d of %d", s.served, s.all)
}

// checkServedShare checks that requests sent after all hosts have recovered are served.
func (t *traffic) checkServedShare(recoveredAt time.Time) {
	for _, r := range t.requests {
		if r.startedAt.Before(recoveredAt) || r.organisation != "lasting" {
			continue
		}
		t.recovered.all++
		if r.response.Status == http.StatusOK && r.response.Err == nil {
			t.recovered.served++
		}
	}
	if float64(t.recovered.served) < minServedShare*float64(t.recovered.all) {
		t.system.findings.add("only %v requests were served after all hosts had recovered", t.recovered)
	}
}

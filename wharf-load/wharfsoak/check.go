package wharfsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	// answerEvents is the number of events of an endpoint's answer.
	answerEvents = 10
	// calmFor is how long a host must have been undisturbed before it has to keep promises with a time bound.
	calmFor = 4 * time.Second
	// applyTime is how long a host may take for a new configuration.
	applyTime = 3 * time.Second
	// routeTime is how long callers may be kept waiting, with half a second of slack.
	routeTime = 5500 * time.Millisecond
	// crossing is how soon a connection may end without an answer when a request crosses its close.
	crossing = 200 * time.Millisecond
	// mostAttempts is the most endpoints that one request may reach, itemFailures the failures after which an item may
	// be given up.
	mostAttempts = 2
	itemFailures = 3
	// limitWindow, limitOver and limitSlack bound what an organisation gets: its rate and burst over the window, a tenth
	// more, and some requests.
	limitWindow = 5 * time.Second
	limitOver   = 0.1
	limitSlack  = 20
	// servedShare is the part of the requests that has to be served once every host has recovered.
	servedShare = 0.99
)

// promisesNotRun reports whether a status promises that a request has not run and never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// undisturbed reports whether neither a host nor the store was faulty for a while before a time and until another.
func (s *site) undisturbed(h *host, from, to time.Time) bool {
	from = from.Add(-calmFor)
	return !h.faults.within(from, to) && !h.stops.within(from, to) && !s.storeFaults.within(from, to)
}

// check compares all requests and jobs against what the endpoints have run.
func (t *traffic) check(calm time.Time) {
	runs := map[string][]wharfstandin.Run{}
	for _, e := range t.site.endpoints {
		for _, past := range e.runs {
			for _, run := range past.Runs() {
				runs[run.ID] = append(runs[run.ID], run)
			}
		}
	}
	for _, r := range t.requests {
		t.checkRuns(r, runs[r.id])
		t.checkAnswer(r, runs[r.id])
		t.checkKey(r)
	}
	for _, j := range t.jobs {
		t.checkJob(j, runs)
	}
	t.checkLimit(runs)
	t.checkCalm(calm)
}

func (t *traffic) report(r *request, runs []wharfstandin.Run, format string, arguments ...any) {
	t.site.findings.add("%s at %s, status %d, error %v, after %v, %d runs: %s", r.id, r.host.name, r.answer.Status, r.answer.Err,
		r.ended.Sub(r.begun).Round(time.Millisecond), len(runs), fmt.Sprintf(format, arguments...))
}

func (t *traffic) checkRuns(r *request, runs []wharfstandin.Run) {
	most := mostAttempts
	if r.route == "once" {
		most = 1
	}
	if len(runs) > most {
		t.report(r, runs, "ran more often than it may")
	}
	if promisesNotRun(r.answer.Status) && len(runs) > 0 {
		t.report(r, runs, "was refused as not run")
	}
	for _, run := range runs {
		if run.Path != "/"+r.route+"/"+r.id || run.Body != requestBody || run.Key != "" {
			t.report(r, runs, "reached an endpoint changed, or with its key: %+v", run)
		}
		if r.route != "open" && run.Organisation != r.organisation {
			t.report(r, runs, "ran for organisation %q", run.Organisation)
		}
	}
}

func (t *traffic) checkAnswer(r *request, runs []wharfstandin.Run) {
	a, whole := r.answer, wharfstandin.StreamBody(r.id, answerEvents)
	switch a.Status {
	case http.StatusOK:
		if a.Err == nil && (a.Body != whole || a.Signature != "signed-"+r.id) {
			t.report(r, runs, "the answer is not the endpoint's: %q", a.Body)
		}
		if a.Err != nil && !strings.HasPrefix(whole, wholeEvents(a.Body)) {
			t.report(r, runs, "the answer is not a part of the endpoint's: %q", a.Body)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if a.RetryAfter <= 0 {
			t.report(r, runs, "was refused without a time to return")
		}
	case http.StatusUnauthorized, http.StatusBadGateway, http.StatusGatewayTimeout, 0:
	case http.StatusInternalServerError:
		if len(runs) == 0 {
			t.report(r, runs, "got a failure of no endpoint")
		}
	default:
		t.report(r, runs, "got a status that nothing explains")
	}
	t.checkEnd(r, runs)
}

// wholeEvents returns a body up to the end of its last whole event.
func wholeEvents(body string) string {
	const end = "\n\n"
	last := strings.LastIndex(body, end)
	if last < 0 {
		return ""
	}
	return body[:last+len(end)]
}

// checkEnd checks that an answer came whole and in time unless something stood in its way.
func (t *traffic) checkEnd(r *request, runs []wharfstandin.Run) {
	from := r.begun.Add(-calmFor)
	if r.host.faults.within(from, r.ended) {
		return
	}
	if r.ended.Sub(r.begun) > routeTime {
		t.report(r, runs, "was kept waiting too long")
	}
	if r.answer.Err == nil || t.site.endpointFaulty(from, r.ended) {
		return
	}
	crosses := len(runs) == 0 && r.ended.Sub(r.begun) <= crossing
	if !r.host.stops.within(from, r.ended) || !crosses {
		t.report(r, runs, "got no whole answer though nothing was faulty")
	}
}

func (t *traffic) checkKey(r *request) {
	switch {
	case r.key == "unknown-key":
		if r.answer.Err == nil && r.answer.Status != http.StatusUnauthorized && r.answer.Status != http.StatusServiceUnavailable {
			t.report(r, nil, "a key that nobody has was not refused")
		}
	case r.answer.Status == http.StatusUnauthorized && !t.withdrawnWithin(r.begun.Add(-calmFor-applyTime), r.ended):
		if r.key != passing || t.site.undisturbed(r.host, r.begun, r.ended) {
			t.report(r, nil, "a key in force was refused")
		}
	case r.key == passing && r.answer.Status == http.StatusOK && t.withdrawnSince(r.begun, applyTime):
		if t.site.undisturbed(r.host, r.begun.Add(-applyTime), r.ended) {
			t.report(r, nil, "a key that was withdrawn was served")
		}
	}
}

func (t *traffic) withdrawnWithin(from, to time.Time) bool {
	return slices.ContainsFunc(t.site.withdrawn, func(s span) bool {
		return s.from.Add(-crossing).Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// withdrawnSince reports whether the passing key had been away for a time before a moment.
func (t *traffic) withdrawnSince(at time.Time, length time.Duration) bool {
	return slices.ContainsFunc(t.site.withdrawn, func(s span) bool {
		return s.from.Add(length).Before(at) && (s.to.IsZero() || s.to.After(at))
	})
}

func (t *traffic) checkJob(j *job, runs map[string][]wharfstandin.Run) {
	failures := map[string]int{}
	for _, item := range j.items {
		failures[item.ID] = len(runs[item.ID])
		if j.accepted.IsZero() && j.promised && len(runs[item.ID]) > 0 {
			t.site.findings.add("%s ran though %s was refused as not run at each attempt", item.ID, j.id)
		}
		for _, run := range runs[item.ID] {
			t.checkItemRun(j, item, run)
		}
	}
	seen := map[string]bool{}
	for _, result := range j.results {
		if seen[result.ID] {
			t.site.findings.add("%s is listed twice in %s", result.ID, j.id)
		}
		seen[result.ID] = true
		t.checkResult(j, result, failures[result.ID])
	}
}

func (t *traffic) checkItemRun(j *job, item wharfstandin.Item, run wharfstandin.Run) {
	if run.Path != "/batch/"+item.ID || run.Body != item.Body || run.Organisation != "lasting" || run.Key != "" {
		t.site.findings.add("item %s reached an endpoint changed: %+v", item.ID, run)
	}
	if j.ended.IsZero() || run.At.Before(j.ended.Add(endTime)) {
		return
	}
	for _, h := range t.site.hosts {
		if !t.site.undisturbed(h, j.ended, run.At) {
			return // it may have been that host, which may not know of the end
		}
	}
	t.site.findings.add("item %s ran %v after the end of %s was acknowledged", item.ID, run.At.Sub(j.ended).Round(time.Millisecond), j.id)
}

func (t *traffic) checkResult(j *job, result wharfstandin.JobResult, runs int) {
	index := slices.IndexFunc(j.items, func(i wharfstandin.Item) bool { return i.ID == result.ID })
	if index < 0 {
		t.site.findings.add("%s lists %s, which is not its item", j.id, result.ID)
		return
	}
	var lines []string
	for event := 1; event <= answerEvents; event++ {
		lines = append(lines, wharfstandin.EventData(result.ID, event))
	}
	cannot := j.items[index].Body == impossible
	switch {
	case result.State == wharfstandin.Completed && (cannot || result.Output != strings.Join(lines, "\n")):
		t.site.findings.add("%s is listed with another output: %q", result.ID, result.Output)
	case result.State == wharfstandin.DeadLetter && !cannot && runs < itemFailures && j.ended.IsZero():
		t.site.findings.add("%s was given up after %d runs", result.ID, runs)
	}
}

// checkLimit checks that the limited organisation got no more than its part over all hosts in any window.
func (t *traffic) checkLimit(runs map[string][]wharfstandin.Run) {
	var starts []time.Time
	for _, r := range t.requests {
		if r.organisation == "limited" && len(runs[r.id]) > 0 {
			starts = append(starts, runs[r.id][0].At)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	most := int((limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOver)) + limitSlack
	first := 0
	for i, at := range starts {
		for at.Sub(starts[first]) > limitWindow {
			first++
		}
		if i-first+1 > most {
			t.site.findings.add("the limited organisation got %d requests in %v; it may have %d", i-first+1, limitWindow, most)
			return
		}
	}
}

// checkCalm checks that requests are served once all hosts have recovered.
func (t *traffic) checkCalm(calm time.Time) {
	served, all := 0, 0
	for _, r := range t.requests {
		if r.begun.Before(calm) || r.organisation != "lasting" {
			continue
		}
		all++
		if r.answer.Status == http.StatusOK && r.answer.Err == nil {
			served++
		}
	}
	if float64(served) < servedShare*float64(all) {
		t.site.findings.add("%d of %d requests were served once all hosts had recovered", served, all)
	}
}

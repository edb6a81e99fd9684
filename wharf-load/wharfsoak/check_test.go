package wharfsoak

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
)

var errReset = errors.New("connection reset")

// newServedRequest returns a request with a complete response, and its execution at the endpoint.
func newServedRequest(route string) (*request, wharfstandin.Run) {
	startedAt := time.Now().Add(-time.Minute)
	r := &request{
		id: "r", route: route, organisation: "lasting", key: unlimitedKey, host: &host{name: "host-0"}, startedAt: startedAt,
		endedAt: startedAt.Add(100 * time.Millisecond),
		response: wharfstandin.Response{
			Status: http.StatusOK, Body: wharfstandin.StreamBody("r", responseEvents), Signature: "signed-r",
		},
	}
	return r, wharfstandin.Run{ID: "r", Organisation: "lasting", Path: "/" + route + "/r", Body: requestBody, At: startedAt}
}

// findingsFor returns the findings of the checks for a request, one per line.
func findingsFor(r *request, runs ...wharfstandin.Run) string {
	t := &traffic{system: &system{endpoints: []*endpoint{{}}}}
	t.checkRuns(r, runs)
	t.checkResponse(r, runs)
	t.checkAuthentication(r)
	return strings.Join(t.system.findings.list(), "\n")
}

func TestChecksAcceptValidRequests(t *testing.T) {
	r, run := newServedRequest("resume")
	assert.Equal(t, findingsFor(r, run), "")
	assert.Equal(t, findingsFor(r, run, run), "")
	r.response = wharfstandin.Response{Status: http.StatusTooManyRequests, RetryAfter: time.Second}
	assert.Equal(t, findingsFor(r), "")
	r.key, r.response = "unknown-key", wharfstandin.Response{Status: http.StatusUnauthorized}
	assert.Equal(t, findingsFor(r), "")
}

func TestChecksFindCrashingPromptsThatGoOn(t *testing.T) {
	for _, c := range []struct {
		interval time.Duration
		findings int
	}{{400 * time.Millisecond, 0}, {800 * time.Millisecond, 1}} {
		s := &system{}
		runs := map[string][]wharfstandin.Run{}
		for n := range 12 {
			r, run := newServedRequest("resume")
			r.id, run.At = fmt.Sprint(n), r.startedAt.Add(time.Duration(n)*c.interval)
			s.crashing = append(s.crashing, r)
			runs[r.id] = []wharfstandin.Run{run}
		}
		(&traffic{system: s}).checkCrashingPrompts(runs)
		assert.Equal(t, len(s.findings.list()), c.findings, "%v", c.interval)
	}
}

func TestChecksFindViolations(t *testing.T) {
	for _, c := range []struct {
		want   string
		route  string
		change func(r *request, run *wharfstandin.Run)
		runs   int
	}{
		{"executed more often", "once", func(*request, *wharfstandin.Run) {}, 2},
		{"executed more often", "resume", func(*request, *wharfstandin.Run) {}, 3},
		{"refused as not run", "once", func(r *request, _ *wharfstandin.Run) {
			r.response = wharfstandin.Response{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
		}, 1},
		{"without a retry delay", "resume", func(r *request, _ *wharfstandin.Run) {
			r.response = wharfstandin.Response{Status: http.StatusTooManyRequests}
		}, 0},
		{"differs from the endpoint's", "resume", func(r *request, _ *wharfstandin.Run) {
			r.response.Body = r.response.Body[:40]
		}, 1},
		{"differs from the endpoint's", "resume", func(r *request, _ *wharfstandin.Run) { r.response.Signature = "" }, 1},
		{"is not a prefix", "resume", func(r *request, _ *wharfstandin.Run) {
			r.response.Body, r.response.Err = wharfstandin.StreamBody("other", 3), errReset
		}, 1},
		{"incomplete without any fault", "once", func(r *request, _ *wharfstandin.Run) {
			r.response.Body, r.response.Err = wharfstandin.StreamBody("r", 3), errReset
		}, 1},
		{"exceeded the response time limit", "resume", func(r *request, _ *wharfstandin.Run) {
			r.endedAt = r.startedAt.Add(6 * time.Second)
		}, 1},
		{"with its key", "resume", func(_ *request, run *wharfstandin.Run) { run.Key = "Token " + unlimitedKey }, 1},
		{"modified", "resume", func(_ *request, run *wharfstandin.Run) { run.Body = "another" }, 1},
		{"executed for organisation", "resume", func(_ *request, run *wharfstandin.Run) { run.Organisation = "limited" }, 1},
		{"valid API key", "resume", func(r *request, _ *wharfstandin.Run) {
			r.response = wharfstandin.Response{Status: http.StatusUnauthorized}
		}, 0},
		{"unknown API key", "resume", func(r *request, _ *wharfstandin.Run) { r.key, r.organisation = "unknown-key", "" }, 0},
		{"unexpected status", "resume", func(r *request, _ *wharfstandin.Run) {
			r.response = wharfstandin.Response{Status: http.StatusNotFound}
		}, 0},
	} {
		t.Run(c.want, func(t *testing.T) {
			r, run := newServedRequest(c.route)
			c.change(r, &run)
			var runs []wharfstandin.Run
			for range c.runs {
				runs = append(runs, run)
			}
			assert.Assert(t, strings.Contains(findingsFor(r, runs...), c.want), "found: %q", findingsFor(r, runs...))
		})
	}
}

func TestFaultsExcuseOnlyOverlappingRequests(t *testing.T) {
	r, run := newServedRequest("once")
	r.response.Body, r.response.Err = wharfstandin.StreamBody("r", 3), errReset
	setFault := func(from time.Duration, length time.Duration) {
		r.host.faults.spans = []span{{from: r.startedAt.Add(from), to: r.startedAt.Add(from + length)}}
	}
	setFault(50*time.Millisecond, time.Second)
	assert.Equal(t, findingsFor(r, run), "", "fault during the request")
	setFault(-3*time.Second, time.Second)
	assert.Equal(t, findingsFor(r, run), "", "fault within the quiet period before the request")
	setFault(-time.Minute, time.Second)
	assert.Assert(t, findingsFor(r, run) != "", "fault long before the request")
	setFault(time.Second, time.Second)
	assert.Assert(t, findingsFor(r, run) != "", "fault after the request")
	r.host.faults.spans = nil
	r.host.plannedStops.spans = []span{{from: r.startedAt}}
	assert.Assert(t, findingsFor(r, run) != "", "a planned stop does not excuse a request that has reached an endpoint")
}

func TestRateLimitIsCheckedOverSlidingWindow(t *testing.T) {
	limit := int((limitRate*limitWindow.Seconds()+limitBurst)*(1+limitTolerance)) + limitSlack
	for _, c := range []struct {
		count int
		gap   time.Duration
		over  bool
	}{
		{limit, time.Millisecond, false},
		{limit + 1, time.Millisecond, true},
		{10 * limit, limitWindow / time.Duration(limit-1), false},
	} {
		tr := &traffic{system: &system{}}
		runs := map[string][]wharfstandin.Run{}
		start := time.Now()
		for i := range c.count {
			id := fmt.Sprint(i)
			tr.requests = append(tr.requests, &request{id: id, organisation: "limited"})
			runs[id] = []wharfstandin.Run{{At: start.Add(time.Duration(i) * c.gap)}}
		}
		tr.checkRateLimit(runs)
		assert.Equal(t, len(tr.system.findings.list()) > 0, c.over, "%d requests", c.count)
	}
}

func TestJobResultsMustExtendEarlierReads(t *testing.T) {
	results := func(ids ...string) []wharfstandin.JobResult {
		var list []wharfstandin.JobResult
		for _, id := range ids {
			list = append(list, wharfstandin.JobResult{ID: id, State: wharfstandin.Completed})
		}
		return list
	}
	for _, c := range []struct {
		read []wharfstandin.JobResult
		want string
	}{
		{results("a"), ""},
		{results("a", "b", "c"), ""},
		{results("b", "a"), "differ from those read before"},
		{results("a", "c"), "differ from those read before"},
	} {
		tr := &traffic{system: &system{}}
		j := &job{id: "j", items: make([]wharfstandin.Item, 3), results: results("a", "b")}
		tr.compareResults(j, &host{name: "host-0"}, wharfstandin.JobPage{Total: 3, Results: c.read})
		text := strings.Join(tr.system.findings.list(), "\n")
		assert.Equal(t, text != "", c.want != "", text)
		assert.Assert(t, strings.Contains(text, c.want), text)
	}
}

func TestSeedDeterminesFaults(t *testing.T) {
	s := &system{options: Options{Duration: time.Second}, hosts: make([]*host, 3), endpoints: make([]*endpoint, 4)}
	first, again, other := scheduleFaults(newRand(5), s), scheduleFaults(newRand(5), s), scheduleFaults(newRand(6), s)
	assert.DeepEqual(t, fmt.Sprint(first), fmt.Sprint(again))
	assert.Assert(t, fmt.Sprint(first) != fmt.Sprint(other))
	for _, e := range first {
		assert.Assert(t, faultByKind(e.kind) != nil && e.at < time.Second && e.duration <= maxFaultDuration)
	}
}

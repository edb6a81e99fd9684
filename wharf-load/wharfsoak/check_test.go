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

// asked returns a request of the lasting organisation that was answered whole, and its run.
func asked(route string) (*request, wharfstandin.Run) {
	begun := time.Now().Add(-time.Minute)
	r := &request{
		id: "r", route: route, organisation: "lasting", key: lasting, host: &host{name: "host-0"}, begun: begun,
		ended:  begun.Add(100 * time.Millisecond),
		answer: wharfstandin.Response{Status: http.StatusOK, Body: wharfstandin.StreamBody("r", answerEvents), Signature: "signed-r"},
	}
	return r, wharfstandin.Run{ID: "r", Organisation: "lasting", Path: "/" + route + "/r", Body: requestBody, At: begun}
}

// found returns what the checks say of a request.
func found(r *request, runs ...wharfstandin.Run) string {
	t := &traffic{site: &site{endpoints: []*endpoint{{}}}}
	t.checkRuns(r, runs)
	t.checkAnswer(r, runs)
	t.checkKey(r)
	return strings.Join(t.site.findings.list(), "\n")
}

func TestRequestsThatKeepThePromisesPass(t *testing.T) {
	r, run := asked("resume")
	assert.Equal(t, found(r, run), "")
	assert.Equal(t, found(r, run, run), "")
	r.answer = wharfstandin.Response{Status: http.StatusTooManyRequests, RetryAfter: time.Second}
	assert.Equal(t, found(r), "")
	r.key, r.answer = "unknown-key", wharfstandin.Response{Status: http.StatusUnauthorized}
	assert.Equal(t, found(r), "")
}

func TestBrokenPromisesAreFound(t *testing.T) {
	for _, c := range []struct {
		says   string
		route  string
		change func(r *request, run *wharfstandin.Run)
		runs   int
	}{
		{"ran more often", "once", func(*request, *wharfstandin.Run) {}, 2},
		{"ran more often", "resume", func(*request, *wharfstandin.Run) {}, 3},
		{"refused as not run", "once", func(r *request, _ *wharfstandin.Run) {
			r.answer = wharfstandin.Response{Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
		}, 1},
		{"without a time to return", "resume", func(r *request, _ *wharfstandin.Run) {
			r.answer = wharfstandin.Response{Status: http.StatusTooManyRequests}
		}, 0},
		{"is not the endpoint's", "resume", func(r *request, _ *wharfstandin.Run) { r.answer.Body = r.answer.Body[:40] }, 1},
		{"is not the endpoint's", "resume", func(r *request, _ *wharfstandin.Run) { r.answer.Signature = "" }, 1},
		{"is not a part", "resume", func(r *request, _ *wharfstandin.Run) {
			r.answer.Body, r.answer.Err = wharfstandin.StreamBody("other", 3), errReset
		}, 1},
		{"no whole answer", "once", func(r *request, _ *wharfstandin.Run) {
			r.answer.Body, r.answer.Err = wharfstandin.StreamBody("r", 3), errReset
		}, 1},
		{"kept waiting too long", "resume", func(r *request, _ *wharfstandin.Run) { r.ended = r.begun.Add(6 * time.Second) }, 1},
		{"with its key", "resume", func(_ *request, run *wharfstandin.Run) { run.Key = "Token " + lasting }, 1},
		{"changed", "resume", func(_ *request, run *wharfstandin.Run) { run.Body = "another" }, 1},
		{"ran for organisation", "resume", func(_ *request, run *wharfstandin.Run) { run.Organisation = "limited" }, 1},
		{"key in force", "resume", func(r *request, _ *wharfstandin.Run) {
			r.answer = wharfstandin.Response{Status: http.StatusUnauthorized}
		}, 0},
		{"nobody has", "resume", func(r *request, _ *wharfstandin.Run) { r.key, r.organisation = "unknown-key", "" }, 0},
		{"nothing explains", "resume", func(r *request, _ *wharfstandin.Run) { r.answer = wharfstandin.Response{Status: http.StatusNotFound} }, 0},
	} {
		t.Run(c.says, func(t *testing.T) {
			r, run := asked(c.route)
			c.change(r, &run)
			var runs []wharfstandin.Run
			for range c.runs {
				runs = append(runs, run)
			}
			assert.Assert(t, strings.Contains(found(r, runs...), c.says), "found: %q", found(r, runs...))
		})
	}
}

func TestFaultsExcuseOnlyWhatTheyExplain(t *testing.T) {
	r, run := asked("once")
	r.answer.Body, r.answer.Err = wharfstandin.StreamBody("r", 3), errReset
	killed := func(from time.Duration, length time.Duration) {
		r.host.faults.spans = []span{{from: r.begun.Add(from), to: r.begun.Add(from + length)}}
	}
	killed(50*time.Millisecond, time.Second)
	assert.Equal(t, found(r, run), "", "its host was killed")
	killed(-3*time.Second, time.Second)
	assert.Equal(t, found(r, run), "", "its host was killed a short time before")
	killed(-time.Minute, time.Second)
	assert.Assert(t, found(r, run) != "", "that was long ago")
	killed(time.Second, time.Second)
	assert.Assert(t, found(r, run) != "", "that came later")
	r.host.faults.spans = nil
	r.host.stops.spans = []span{{from: r.begun}}
	assert.Assert(t, found(r, run) != "", "a planned stop excuses nothing that has reached an endpoint")
}

func TestLimitedOrganisationIsCountedOverAnyWindow(t *testing.T) {
	most := int((limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOver)) + limitSlack
	for _, c := range []struct {
		count int
		gap   time.Duration
		over  bool
	}{{most, time.Millisecond, false}, {most + 1, time.Millisecond, true}, {10 * most, limitWindow / time.Duration(most-1), false}} {
		tr := &traffic{site: &site{}}
		runs := map[string][]wharfstandin.Run{}
		begun := time.Now()
		for i := range c.count {
			id := fmt.Sprint(i)
			tr.requests = append(tr.requests, &request{id: id, organisation: "limited"})
			runs[id] = []wharfstandin.Run{{At: begun.Add(time.Duration(i) * c.gap)}}
		}
		tr.checkLimit(runs)
		assert.Equal(t, len(tr.site.findings.list()) > 0, c.over, "%d requests", c.count)
	}
}

func TestResultsAreComparedWithThoseReadBefore(t *testing.T) {
	results := func(ids ...string) []wharfstandin.JobResult {
		var list []wharfstandin.JobResult
		for _, id := range ids {
			list = append(list, wharfstandin.JobResult{ID: id, State: wharfstandin.Completed})
		}
		return list
	}
	for _, c := range []struct {
		read []wharfstandin.JobResult
		says string
	}{
		{results("a"), ""},
		{results("a", "b", "c"), ""},
		{results("b", "a"), "not those read before"},
		{results("a", "c"), "not those read before"},
	} {
		tr := &traffic{site: &site{}}
		j := &job{id: "j", items: make([]wharfstandin.Item, 3), results: results("a", "b")}
		tr.compare(j, &host{name: "host-0"}, wharfstandin.JobPage{Total: 3, Results: c.read})
		text := strings.Join(tr.site.findings.list(), "\n")
		assert.Equal(t, text != "", c.says != "", text)
		assert.Assert(t, strings.Contains(text, c.says), text)
	}
}

func TestSeedsDrawTheSameFaults(t *testing.T) {
	s := &site{options: Options{Duration: time.Second}, hosts: make([]*host, 3), endpoints: make([]*endpoint, 4)}
	first, again, other := draw(newRandom(5), s), draw(newRandom(5), s), draw(newRandom(6), s)
	assert.DeepEqual(t, fmt.Sprint(first), fmt.Sprint(again))
	assert.Assert(t, fmt.Sprint(first) != fmt.Sprint(other))
	for _, e := range first {
		assert.Assert(t, faultOf(e.kind) != nil && e.at < time.Second && e.lasts <= longestFault)
	}
}

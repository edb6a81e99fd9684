package wharfhost

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
)

// brokenAfter is the number of events after which the streams of these tests break off.
const brokenAfter = 3

// TestFailureIsNoPartOfABrokenStream guards against a stream that broke off and got the text of the next endpoint's failure, or
// ended as if it were complete, and against items that are completed with a part of their output.
func TestFailureIsNoPartOfABrokenStream(t *testing.T) {
	for _, kind := range wharfstandin.OddAnswers() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 3)
			for _, e := range c.endpoints {
				e.SetFaults(wharfstandin.Faults{BreakAfter: brokenAfter, Continuation: kind})
			}
			for i := range 3 {
				id := fmt.Sprint("s", i)
				resp := c.send(c.hosts[0], keyA, "POST", "/resume/x", id, "")
				assert.Check(t, resp.Err != nil, "the stream ended as complete: %d, %q", resp.Status, resp.Body)
				assert.Check(t, resp.Status == http.StatusOK && resp.Body == wharfstandin.StreamBody(id, brokenAfter), "%d, %q",
					resp.Status, resp.Body)
				assert.Check(t, len(c.executions(id)) == 2)
			}
			assert.Equal(t, c.submit(c.hosts[0], "job", 2).Status, http.StatusAccepted)
			c.assertJob(c.hosts[0], "job", 2)
		})
	}
}

// TestStreamOfWhichOnlyTheEndIsMissingIsComplete guards against streams and items that never end because the last event has
// arrived and the end has not.
func TestStreamOfWhichOnlyTheEndIsMissingIsComplete(t *testing.T) {
	c := newCluster(t, 1, 3)
	for _, e := range c.endpoints {
		e.SetFaults(wharfstandin.Faults{BreakAfter: e.Events})
	}
	for i := range 3 {
		id := fmt.Sprint("s", i)
		c.assertComplete(c.send(c.hosts[0], keyA, "POST", "/resume/x", id, ""), id)
	}
	assert.Equal(t, c.submit(c.hosts[0], "job", 2).Status, http.StatusAccepted)
	c.assertJob(c.hosts[0], "job", 2)
}

// TestAnswersThatEndWithinTheirHead guards against a success with an empty or short body, framed as whole, after an endpoint
// closed the connection within the head of its answer.
func TestAnswersThatEndWithinTheirHead(t *testing.T) {
	c := newCluster(t, 1, 3)
	for _, e := range c.endpoints {
		e.SetFaults(wharfstandin.Faults{HeadCutRate: 1})
	}
	for i := range 60 {
		target := []string{"/resume/x", "/once/x", "/none/x"}[i%3]
		resp := c.send(c.hosts[0], keyA, "POST", target, fmt.Sprint("h", i), "")
		assert.Check(t, resp.Err != nil || resp.Status >= http.StatusBadRequest, "%d, %q", resp.Status, resp.Body)
	}
	assert.Equal(t, c.submit(c.hosts[0], "job", 3).Status, http.StatusAccepted)
	for _, e := range c.endpoints {
		e.SetFaults(wharfstandin.Faults{HeadCutRate: 0.5})
	}
	c.assertJob(c.hosts[0], "job", 3)
}

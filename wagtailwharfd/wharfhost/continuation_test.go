package wharfhost

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
)

// brokenAfter is the number of events after which the streams of these tests break off.
const brokenAfter = 3

// sendUntilRun sends a request, with a new ID each time, until endpoints have run it as often as the test needs: on a busy machine
// some requests find no slot in time.
func (c *cluster) sendUntilRun(name string, runs int, send func(id string) wharfstandin.Response) (string, wharfstandin.Response) {
	c.t.Helper()
	var id string
	var resp wharfstandin.Response
	try := 0
	c.await("an endpoint has run "+name, func() bool {
		id = fmt.Sprintf("%s-%d", name, try)
		try++
		resp = send(id)
		return len(c.executions(id)) == runs
	})
	return id, resp
}

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
				id, resp := c.sendUntilRun(fmt.Sprint("s", i), 2, func(id string) wharfstandin.Response {
					return c.send(c.hosts[0], keyA, "POST", "/resume/x", id, "")
				})
				assert.Check(t, resp.Err != nil, "the stream ended as complete: %d, %q", resp.Status, resp.Body)
				assert.Check(t, resp.Status == http.StatusOK && resp.Body == wharfstandin.StreamBody(id, brokenAfter), "%d, %q",
					resp.Status, resp.Body)
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
		id, resp := c.sendUntilRun(fmt.Sprint("s", i), 2, func(id string) wharfstandin.Response {
			return c.send(c.hosts[0], keyA, "POST", "/resume/x", id, "")
		})
		c.assertComplete(resp, id)
	}
	assert.Equal(t, c.submit(c.hosts[0], "job", 2).Status, http.StatusAccepted)
	c.assertJob(c.hosts[0], "job", 2)
}

// TestUnpromisedRefusalIsNotPassedOn guards against a caller that is told by an endpoint's status that a request has not run,
// though the endpoint does not say so.
func TestUnpromisedRefusalIsNotPassedOn(t *testing.T) {
	c := newCluster(t, 1, 3)
	for _, kind := range []string{"429", "503"} {
		for _, e := range c.endpoints {
			e.SetFaults(wharfstandin.Faults{Continuation: kind})
		}
		_, resp := c.sendUntilRun("taken-up-"+kind, 2, func(id string) wharfstandin.Response {
			caller := wharfstandin.NewCaller(callerHost, keyA)
			return caller.TakeUp(context.Background(), c.hosts[0].address(), "/resume/x", id, "begun", brokenAfter)
		})
		assert.Check(t, resp.Status == http.StatusBadGateway, "%d, %q", resp.Status, resp.Body)
	}
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

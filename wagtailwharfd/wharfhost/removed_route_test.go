package wharfhost

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
)

// setBatchRoute changes the batch route's name, removes it if the name is empty, and waits until all hosts have the version.
func (c *cluster) setBatchRoute(name string) {
	c.t.Helper()
	c.configuration.BatchRoute, c.configuration.WithoutBatch = name, name == ""
	c.applyConfiguration()
	c.await("all hosts have the new version", func() bool {
		for _, h := range c.hosts {
			if h.table().Version < c.version {
				return false
			}
		}
		return true
	})
}

// submitLong submits a job that takes several times as long as a new version takes to come into force.
func (c *cluster) submitLong(job string) {
	c.t.Helper()
	for _, e := range c.endpoints {
		e.EventTime = 100 * time.Millisecond
	}
	assert.Equal(c.t, c.submit(c.hosts[0], job, 20).Status, http.StatusAccepted)
}

// TestJobOfReplacedRouteIsCompleted guards against a job of which nothing more is run after its route got another name (review/8).
func TestJobOfReplacedRouteIsCompleted(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.submitLong("job")
	c.setBatchRoute("successor")
	c.assertJob(c.hosts[1], "job", 20)
}

// TestJobOfRemovedRouteIsEndedAndRead guards against a job that can't be read, or is never finished, after its host name has lost
// its route for batch jobs.
func TestJobOfRemovedRouteIsEndedAndRead(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.submitLong("job")
	c.setBatchRoute("")
	results := c.readJob(c.hosts[1], "job", 20)
	givenUp := 0
	for id, r := range results {
		if r.State == wharfstandin.DeadLetter {
			givenUp++
			continue
		}
		assert.Assert(t, r.Output != "", id)
	}
	assert.Assert(t, givenUp > 0, "%v", results)
	for key, status := range map[string]int{keyB: http.StatusNotFound, "unknown": http.StatusNotFound} {
		_, resp := wharfstandin.NewCaller(callerHost, key).ReadResults(context.Background(), c.hosts[0].address(), "job", 0, 0)
		assert.Equal(t, resp.Status, status, key)
	}
	caller := wharfstandin.NewCaller(callerHost, keyA)
	assert.Equal(t, caller.CancelJob(context.Background(), c.hosts[0].address(), "job").Status, http.StatusOK)
	assert.Equal(t, c.submit(c.hosts[0], "another", 1).Status, http.StatusNotFound)
}

package wharfhost

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	c := newCluster(t, 2, 2)
	const target = "/resume/a%2Fb//c?x=1&y=%20"
	c.assertComplete(c.send(c.hosts[0], keyA, "POST", target, "one", "the body"), "one")
	runs := c.executions("one")
	assert.Equal(t, len(runs), 1)
	run := runs[0]
	run.At, run.Endpoint = time.Time{}, ""
	assert.DeepEqual(t, run, wharfstandin.Run{ID: "one", Version: "v1", Organisation: "a", Path: target, Body: "the body", LastEvent: -1})
}

func TestKeysAndRoutes(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	assert.Equal(t, c.send(h, "", "POST", "/resume/", "1", "").Status, http.StatusUnauthorized)
	assert.Equal(t, c.send(h, "wrong", "POST", "/resume/", "2", "").Status, http.StatusUnauthorized)
	assert.Equal(t, c.send(h, keyA, "POST", "/nowhere/", "3", "").Status, http.StatusNotFound)
	assert.Equal(t, c.send(h, "", "POST", "/open/x", "4", "").Status, http.StatusOK)
	assert.Equal(t, c.executions("4")[0].Organisation, "")
	c.configuration.Organisations = c.configuration.Organisations[:1]
	c.applyConfiguration()
	c.await("the key is withdrawn", func() bool {
		return c.send(h, keyB, "POST", "/resume/", "", "").Status == http.StatusUnauthorized
	})
	assert.Equal(t, c.send(h, keyA, "POST", "/resume/", "5", "").Status, http.StatusOK)
}

func TestLimitsOfTheConfiguration(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	long := "/resume/" + strings.Repeat("x", 20<<10)
	assert.Equal(t, c.send(h, keyA, "POST", long, "1", "").Status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, c.send(h, keyA, "POST", "/resume/x", "2", strings.Repeat("x", 5<<20)).Status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, c.send(h, keyA, "POST", "/resume/x", "3", strings.Repeat("x", 3<<20)).Status, http.StatusOK)
}

func TestDaemonWithoutConfigurationRefusesRequests(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.store.SetFault(func(string) error { return wharfrecords.ErrUnavailable })
	c.hosts[0].kill()
	h := c.restart(c.hosts[0])
	c.await("the host listens", func() bool { return c.send(h, keyA, "POST", "/resume/", "1", "").Err == nil })
	resp := c.send(h, keyA, "POST", "/resume/", "1", "")
	assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
	assert.Assert(t, resp.RetryAfter > 0, "Retry-After is missing")
	assert.Equal(t, len(c.executions("1")), 0)
	c.store.SetFault(nil)
	c.await("the host serves requests after the outage", func() bool {
		return c.send(h, keyA, "POST", "/resume/", "2", "").Status == http.StatusOK
	})
}

func TestDaemonCutOffFromStoreSyncsFromPeers(t *testing.T) {
	c := newCluster(t, 3, 1)
	cutOff := c.hosts[2]
	settings := cutOff.Host.settings
	cutOff.kill()
	settings.Store = freePort(t) // nothing listens on this port
	isolated := c.run(settings)
	c.await("the host knows the configuration and the endpoint", func() bool {
		return isolated.table() != nil && len(isolated.directory.View().Endpoints) == 1
	})
	c.assertComplete(c.send(isolated, keyA, "POST", "/resume/x", "1", ""), "1")
	c.configuration.Organisations = c.configuration.Organisations[:1]
	c.applyConfiguration()
	c.await("the withdrawn key is rejected", func() bool {
		return c.send(isolated, keyB, "POST", "/resume/", "", "").Status != http.StatusOK
	})
}

func TestBrokenStreamsResumeOnAnotherEndpoint(t *testing.T) {
	c := newCluster(t, 1, 4)
	for _, e := range c.endpoints[:3] {
		e.SetFaults(wharfstandin.Faults{BreakRate: 0.5})
	}
	resumed := 0
	for i := range 40 {
		id := fmt.Sprint("r", i)
		resp := c.send(c.hosts[0], keyA, "POST", "/resume/x", id, "")
		runs := c.executions(id)
		assert.Assert(t, len(runs) <= 2, "more attempts than the route allows")
		if resp.Err != nil {
			assert.Assert(t, len(runs) == 2, "aborted with an attempt left")
			continue
		}
		c.assertComplete(resp, id)
		if len(runs) == 2 && runs[1].LastEvent > 0 {
			resumed++
		}
	}
	assert.Assert(t, resumed > 3, "%d streams were resumed", resumed)
}

func TestNonRepeatableRequestsRunAtMostOnce(t *testing.T) {
	c := newCluster(t, 2, 3)
	for _, e := range c.endpoints {
		e.SetFaults(wharfstandin.Faults{BreakRate: 0.3, ErrorRate: 0.3})
	}
	var calls sync.WaitGroup
	for i := range 60 {
		calls.Go(func() {
			id := fmt.Sprint("o", i)
			resp := c.send(c.hosts[i%2], keyA, "POST", "/once/x", id, "")
			runs := len(c.executions(id))
			assert.Check(t, runs <= 1, "%s ran %d times", id, runs)
			refused := resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests
			assert.Check(t, !refused || runs == 0, "%s was refused as not run but did run", id)
			assert.Check(t, resp.Status != http.StatusOK || resp.Err != nil || resp.Body == wharfstandin.StreamBody(id, c.endpoints[0].Events))
		})
	}
	calls.Wait()
}

func TestDeclinedRequestsAreRetriedOrRefused(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.endpoints[0].SetFaults(wharfstandin.Faults{Full: true})
	for i := range 10 {
		id := fmt.Sprint("d", i)
		c.assertComplete(c.send(c.hosts[0], keyA, "POST", "/once/x", id, ""), id)
	}
	c.endpoints[1].SetFaults(wharfstandin.Faults{Full: true})
	start := time.Now()
	resp := c.send(c.hosts[0], keyA, "POST", "/once/x", "last", "")
	assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
	assert.Assert(t, resp.RetryAfter > 0 && time.Since(start) < time.Second)
	assert.Equal(t, len(c.executions("last")), 0)
}

func TestFullServiceRefusesExcessRequestsImmediately(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.endpoints[0].EventTime = 100 * time.Millisecond
	var calls sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	for i := range 12 {
		calls.Go(func() {
			start := time.Now()
			resp := c.send(c.hosts[0], keyA, "POST", "/resume/x", fmt.Sprint("f", i), "")
			mu.Lock()
			defer mu.Unlock()
			if resp.Status == http.StatusOK {
				served++
				return
			}
			refused++
			assert.Check(t, resp.Status == http.StatusServiceUnavailable && resp.RetryAfter > 0)
			assert.Check(t, time.Since(start) < 300*time.Millisecond, "refused after %v", time.Since(start))
		})
	}
	calls.Wait()
	assert.Equal(t, served, 4)
	assert.Equal(t, refused, 8)
}

func TestDrainingAndRemovedEndpointsGetNoNewRequests(t *testing.T) {
	c := newCluster(t, 2, 3)
	assert.NilError(t, c.endpoints[0].Register("draining"))
	assert.NilError(t, c.endpoints[1].Deregister())
	assert.NilError(t, c.store.PutRawEndpoint("strange", []byte("\xff not JSON")))
	assert.NilError(t, c.store.PutRawEndpoint("typed", []byte(`{"service":7,"address":true}`)))
	time.Sleep(time.Second)
	before := len(c.endpoints[0].Runs()) + len(c.endpoints[1].Runs())
	for i := range 12 {
		id := fmt.Sprint("l", i)
		c.assertComplete(c.send(c.hosts[i%2], keyA, "POST", "/resume/x", id, ""), id)
	}
	assert.Equal(t, len(c.endpoints[0].Runs())+len(c.endpoints[1].Runs()), before)
}

func TestPoisonRequestCrashesFewEndpoints(t *testing.T) {
	c := newCluster(t, 3, 3)
	for _, e := range c.endpoints {
		e.SetFaults(wharfstandin.Faults{CrashBody: "poison"})
	}
	for i := range 12 {
		resp := c.send(c.hosts[i%3], keyA, "POST", "/resume/poison", fmt.Sprint("p", i), "poison")
		assert.Assert(t, resp.Status != http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
	crashes := 0
	for _, e := range c.endpoints {
		for _, r := range e.Runs() {
			if r.Body == "poison" {
				crashes++
			}
		}
	}
	assert.Assert(t, crashes <= 6, "%d crashes after 12 resends", crashes)
	c.await("other requests are served", func() bool {
		return c.send(c.hosts[0], keyA, "POST", "/resume/x", "fine", "").Status == http.StatusOK
	})
}

func TestRateLimitHoldsAcrossHosts(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.configuration.Organisations[0].Rate = 10
	c.configuration.Organisations[0].Burst = 10
	c.applyConfiguration()
	time.Sleep(time.Second)
	var calls sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range 200 {
		time.Sleep(10 * time.Millisecond)
		calls.Go(func() {
			resp := c.send(c.hosts[i%3], keyA, "POST", "/resume/x", fmt.Sprint("q", i), "")
			mu.Lock()
			defer mu.Unlock()
			if resp.Status == http.StatusOK {
				served++
			} else {
				assert.Check(t, resp.Status == http.StatusTooManyRequests && resp.RetryAfter > 0)
			}
		})
	}
	calls.Wait()
	assert.Assert(t, served >= 20 && served <= 35, "%d of 200 requests served in 2 s at 10/s with a burst of 10", served)
}

func TestGracefulShutdownAbortsNoRequests(t *testing.T) {
	c := newCluster(t, 2, 4)
	for _, e := range c.endpoints {
		e.EventTime = 80 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	leaving, staying := c.hosts[0], c.hosts[1]
	for worker := range 4 {
		calls.Go(func() {
			caller := wharfstandin.NewCaller(callerHost, keyA)
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("s%d-%d", worker, i)
				address := leaving.address()
				if leaving.draining.Load() {
					address = staying.address() // like a load balancer that checks readiness
				}
				resp := caller.Send(context.Background(), address, "POST", "/once/x", id, "")
				assert.Check(t, resp.Err == nil, "%v", resp.Err)
				assert.Check(t, resp.Status == http.StatusOK || resp.Status == http.StatusServiceUnavailable, "%d", resp.Status)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	start := time.Now()
	leaving.Drain()
	assert.NilError(t, <-leaving.done)
	leaving.once.Do(func() {})
	assert.Assert(t, time.Since(start) < 7*time.Second)
	cancel()
	calls.Wait()
	c.await("the row of the drained host is deleted", func() bool {
		page, err := c.store.Read(context.Background(), wharfrecords.Range{Table: hostTable})
		return err == nil && len(page.Rows) == 1
	})
}

// TestRequestsLateInAPlannedStopAreNotCut guards against a stopping host that read requests from open connections until it
// cut them off at the end of its stop limit (review/4). Callers use their connections until the host closes them: most send
// one request each, spread over the stop, and some send without a pause.
func TestRequestsLateInAPlannedStopAreNotCut(t *testing.T) {
	const callers, restless, spread = 140, 5, 60 * time.Millisecond
	c := newCluster(t, 1, 10)
	for _, e := range c.endpoints {
		e.EventTime = 150 * time.Millisecond
	}
	leaving, draining, notServed := c.hosts[0], make(chan struct{}), make(chan string, 10000)
	ask := func(caller *wharfstandin.Caller, id string) bool {
		resp := caller.Send(context.Background(), leaving.address(), "POST", "/once/x", id, "")
		if resp.Err != nil || resp.Status != http.StatusOK {
			assert.Check(t, resp.Err != nil && resp.Status == 0 || resp.Status == http.StatusServiceUnavailable,
				"%s was cut off: %d, %v", id, resp.Status, resp.Err)
			notServed <- id
		}
		return resp.Err == nil
	}
	var calls sync.WaitGroup
	for i := range callers {
		caller := wharfstandin.NewCaller(callerHost, keyA)
		calls.Go(func() {
			caller.Send(context.Background(), leaving.address(), "POST", "/none/x", fmt.Sprintf("early-%d", i), "")
			<-draining
			time.Sleep(time.Duration(i) * spread)
			ask(caller, fmt.Sprintf("late-%d", i))
		})
	}
	for i := range restless {
		caller := wharfstandin.NewCaller(callerHost, keyA)
		calls.Go(func() {
			for n := 0; ask(caller, fmt.Sprintf("restless-%d-%d", i, n)); n++ {
			}
		})
	}
	time.Sleep(time.Second)
	close(draining)
	leaving.Drain()
	assert.NilError(t, <-leaving.done)
	assert.Check(t, leaving.frontend.InFlight() == 0, "%d requests are cut off by the end of the process", leaving.frontend.InFlight())
	leaving.once.Do(func() {})
	calls.Wait()
	close(notServed)
	for id := range notServed {
		assert.Check(t, len(c.executions(id)) == 0, "%s has run", id)
	}
}

// TestStreamThatFollowsAnotherInAPlannedStopIsRefused guards against a request that is taken when it can't end before the stop:
// the stream before it has kept the connection from being closed.
func TestStreamThatFollowsAnotherInAPlannedStopIsRefused(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.endpoints[0].EventTime = 450 * time.Millisecond
	leaving := c.hosts[0]
	var calls sync.WaitGroup
	for i := range 3 {
		caller := wharfstandin.NewCaller(callerHost, keyA)
		calls.Go(func() {
			first := caller.Send(context.Background(), leaving.address(), "POST", "/once/x", fmt.Sprint("first-", i), "")
			assert.Check(t, first.Err == nil && first.Status == http.StatusOK, "%v", first.Err)
			id := fmt.Sprint("second-", i)
			second := caller.Send(context.Background(), leaving.address(), "POST", "/once/x", id, "")
			assert.Check(t, second.Err == nil && second.Status == http.StatusServiceUnavailable, "%d, %v", second.Status, second.Err)
			assert.Check(t, second.RetryAfter > 0 && second.Close && len(c.executions(id)) == 0)
		})
	}
	time.Sleep(300 * time.Millisecond)
	leaving.Drain()
	assert.NilError(t, <-leaving.done)
	leaving.once.Do(func() {})
	calls.Wait()
}

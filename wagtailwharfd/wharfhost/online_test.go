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
	c.assertWhole(c.send(c.hosts[0], keyA, "POST", target, "one", "the body"), "one")
	runs := c.runs("one")
	assert.Equal(t, len(runs), 1)
	run := runs[0]
	run.At = time.Time{}
	assert.DeepEqual(t, run, wharfstandin.Run{ID: "one", Organisation: "a", Path: target, Body: "the body", LastEvent: -1})
}

func TestKeysAndRoutes(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	assert.Equal(t, c.send(h, "", "POST", "/resume/", "1", "").Status, http.StatusUnauthorized)
	assert.Equal(t, c.send(h, "wrong", "POST", "/resume/", "2", "").Status, http.StatusUnauthorized)
	assert.Equal(t, c.send(h, keyA, "POST", "/nowhere/", "3", "").Status, http.StatusNotFound)
	assert.Equal(t, c.send(h, "", "POST", "/open/x", "4", "").Status, http.StatusOK)
	assert.Equal(t, c.runs("4")[0].Organisation, "")
	c.settings.Organisations = c.settings.Organisations[:1]
	c.configure()
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

func TestDaemonWithoutAConfigurationSaysSo(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.store.SetFault(func(string) error { return wharfrecords.ErrUnavailable })
	c.hosts[0].kill()
	h := c.restart(c.hosts[0])
	c.await("it listens", func() bool { return c.send(h, keyA, "POST", "/resume/", "1", "").Err == nil })
	a := c.send(h, keyA, "POST", "/resume/", "1", "")
	assert.Equal(t, a.Status, http.StatusServiceUnavailable)
	assert.Assert(t, a.RetryAfter > 0, "it tells when to come back")
	assert.Equal(t, len(c.runs("1")), 0)
	c.store.SetFault(nil)
	c.await("it serves once the store is back", func() bool {
		return c.send(h, keyA, "POST", "/resume/", "2", "").Status == http.StatusOK
	})
}

func TestDaemonThatTheStoreDoesNotServeLearnsFromOthers(t *testing.T) {
	c := newCluster(t, 3, 1)
	cut := c.hosts[2]
	settings := cut.Host.settings
	cut.kill()
	settings.Store = freePort(t) // nothing listens there
	lonely := c.run(settings)
	c.await("it knows configuration and endpoints", func() bool {
		return lonely.table() != nil && len(lonely.directory.View().Endpoints) == 1
	})
	c.assertWhole(c.send(lonely, keyA, "POST", "/resume/x", "1", ""), "1")
	c.settings.Organisations = c.settings.Organisations[:1]
	c.configure()
	c.await("a withdrawn key stops there too", func() bool {
		return c.send(lonely, keyB, "POST", "/resume/", "", "").Status != http.StatusOK
	})
}

func TestBrokenStreamsGoOnElsewhereWithinOneAnswer(t *testing.T) {
	c := newCluster(t, 1, 4)
	for _, e := range c.endpoints[:3] {
		e.SetFaults(wharfstandin.Faults{BreakRate: 0.5})
	}
	resumed := 0
	for i := range 40 {
		id := fmt.Sprint("r", i)
		a := c.send(c.hosts[0], keyA, "POST", "/resume/x", id, "")
		runs := c.runs(id)
		assert.Assert(t, len(runs) <= 2, "attempts of the route")
		if a.Err != nil {
			assert.Assert(t, len(runs) == 2, "cut off though another attempt was left")
			continue
		}
		c.assertWhole(a, id)
		if len(runs) == 2 && runs[1].LastEvent > 0 {
			resumed++
		}
	}
	assert.Assert(t, resumed > 3, "%d were resumed", resumed)
}

func TestRequestsThatMayNotBeRepeatedRunOnce(t *testing.T) {
	c := newCluster(t, 2, 3)
	for _, e := range c.endpoints {
		e.SetFaults(wharfstandin.Faults{BreakRate: 0.3, ErrorRate: 0.3})
	}
	var calls sync.WaitGroup
	for i := range 60 {
		calls.Go(func() {
			id := fmt.Sprint("o", i)
			a := c.send(c.hosts[i%2], keyA, "POST", "/once/x", id, "")
			runs := len(c.runs(id))
			assert.Check(t, runs <= 1, "%s ran %d times", id, runs)
			refused := a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
			assert.Check(t, !refused || runs == 0, "%s was refused as not run, and ran", id)
			assert.Check(t, a.Status != http.StatusOK || a.Err != nil || a.Body == wharfstandin.StreamBody(id, c.endpoints[0].Events))
		})
	}
	calls.Wait()
}

func TestDeclinedRequestsGoElsewhereOrAreRefused(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.endpoints[0].SetFaults(wharfstandin.Faults{Full: true})
	for i := range 10 {
		id := fmt.Sprint("d", i)
		c.assertWhole(c.send(c.hosts[0], keyA, "POST", "/once/x", id, ""), id)
	}
	c.endpoints[1].SetFaults(wharfstandin.Faults{Full: true})
	begun := time.Now()
	a := c.send(c.hosts[0], keyA, "POST", "/once/x", "last", "")
	assert.Equal(t, a.Status, http.StatusServiceUnavailable)
	assert.Assert(t, a.RetryAfter > 0 && time.Since(begun) < time.Second)
	assert.Equal(t, len(c.runs("last")), 0)
}

func TestFullServiceRefusesAtOnceAndServesThoseThatFit(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.endpoints[0].EventTime = 100 * time.Millisecond
	var calls sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	for i := range 12 {
		calls.Go(func() {
			begun := time.Now()
			a := c.send(c.hosts[0], keyA, "POST", "/resume/x", fmt.Sprint("f", i), "")
			mu.Lock()
			defer mu.Unlock()
			if a.Status == http.StatusOK {
				served++
				return
			}
			refused++
			assert.Check(t, a.Status == http.StatusServiceUnavailable && a.RetryAfter > 0)
			assert.Check(t, time.Since(begun) < 300*time.Millisecond, "refused after %v", time.Since(begun))
		})
	}
	calls.Wait()
	assert.Equal(t, served, 4)
	assert.Equal(t, refused, 8)
}

func TestLeavingAndGoneEndpointsGetNothingNew(t *testing.T) {
	c := newCluster(t, 2, 3)
	assert.NilError(t, c.endpoints[0].Register("draining"))
	assert.NilError(t, c.endpoints[1].Deregister())
	assert.NilError(t, c.store.PutRawEndpoint("strange", []byte("\xff not JSON")))
	assert.NilError(t, c.store.PutRawEndpoint("typed", []byte(`{"service":7,"address":true}`)))
	time.Sleep(time.Second)
	before := len(c.endpoints[0].Runs()) + len(c.endpoints[1].Runs())
	for i := range 12 {
		id := fmt.Sprint("l", i)
		c.assertWhole(c.send(c.hosts[i%2], keyA, "POST", "/resume/x", id, ""), id)
	}
	assert.Equal(t, len(c.endpoints[0].Runs())+len(c.endpoints[1].Runs()), before)
}

func TestRequestThatCrashesEndpointsCrashesFew(t *testing.T) {
	c := newCluster(t, 3, 3)
	for _, e := range c.endpoints {
		e.SetFaults(wharfstandin.Faults{CrashBody: "poison"})
	}
	for i := range 12 {
		a := c.send(c.hosts[i%3], keyA, "POST", "/resume/poison", fmt.Sprint("p", i), "poison")
		assert.Assert(t, a.Status != http.StatusOK)
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
	assert.Assert(t, crashes <= 6, "%d crashes by twelve resends", crashes)
	c.await("others are served", func() bool { return c.send(c.hosts[0], keyA, "POST", "/resume/x", "fine", "").Status == http.StatusOK })
}

func TestRateHoldsOverAllHosts(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.settings.Organisations[0].Rate = 10
	c.settings.Organisations[0].Burst = 10
	c.configure()
	time.Sleep(time.Second)
	var calls sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range 200 {
		time.Sleep(10 * time.Millisecond)
		calls.Go(func() {
			a := c.send(c.hosts[i%3], keyA, "POST", "/resume/x", fmt.Sprint("q", i), "")
			mu.Lock()
			defer mu.Unlock()
			if a.Status == http.StatusOK {
				served++
			} else {
				assert.Check(t, a.Status == http.StatusTooManyRequests && a.RetryAfter > 0)
			}
		})
	}
	calls.Wait()
	assert.Assert(t, served >= 20 && served <= 35, "%d of 200 in two seconds at 10 a second and a burst of 10", served)
}

func TestPlannedStopCutsNothingOff(t *testing.T) {
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
				if leaving.leaving.Load() {
					address = staying.address() // as a balancer does that asks for readiness
				}
				a := caller.Send(context.Background(), address, "POST", "/once/x", id, "")
				assert.Check(t, a.Err == nil, "%v", a.Err)
				assert.Check(t, a.Status == http.StatusOK || a.Status == http.StatusServiceUnavailable, "%d", a.Status)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	begun := time.Now()
	leaving.Drain()
	assert.NilError(t, <-leaving.done)
	leaving.once.Do(func() {})
	assert.Assert(t, time.Since(begun) < 7*time.Second)
	cancel()
	calls.Wait()
	c.await("its row is gone", func() bool {
		page, err := c.store.Read(context.Background(), wharfrecords.Range{Table: hostTable})
		return err == nil && len(page.Rows) == 1
	})
}

package wharfhost

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/protocol/wharfhostsettings"
)

// evacuationBound is the time within which an evacuation must be in force at hosts that are in contact with the store.
const evacuationBound = 5 * time.Second

// newZones starts a cluster with two hosts and two endpoints in each of the zones "zone" and "other".
func newZones(t *testing.T, maxMeshPeers int) *cluster {
	t.Helper()
	c := newClusterOf(t, 2, 2, maxMeshPeers)
	for i := range 2 {
		e, err := wharfstandin.StartEndpoint(c.store, fmt.Sprint("o", i), assistant, "other", 4)
		assert.NilError(t, err)
		t.Cleanup(e.Stop)
		c.endpoints = append(c.endpoints, e)
		c.startIn("other", fmt.Sprint("other-", i))
	}
	c.await("all hosts know each other and the endpoints", func() bool {
		for _, h := range c.hosts {
			if len(h.gossip.Peers()) != 3 || len(h.directory.View().Endpoints) != 4 || h.table() == nil {
				return false
			}
			for _, p := range h.gossip.Peers() {
				if p.Presence != wharfgossip.Alive {
					return false
				}
			}
		}
		return true
	})
	return c
}

// load sends requests and batch jobs to all hosts until stop is called, which returns the number of complete answers. Each
// answer must be complete, or a refusal as not run.
func (c *cluster) load() (stop func() int) {
	var senders sync.WaitGroup
	var ended atomic.Bool
	var complete atomic.Int64
	for i := range 2 * len(c.hosts) {
		senders.Go(func() {
			h := c.hosts[i%len(c.hosts)]
			for n := 0; !ended.Load(); n++ {
				id := fmt.Sprintf("load-%d-%d", i, n)
				resp := c.send(h, keyA, http.MethodPost, "/resume/x", id, "")
				if resp.Status == http.StatusServiceUnavailable {
					continue
				}
				c.assertComplete(resp, id)
				complete.Add(1)
			}
		})
	}
	senders.Go(func() {
		for n := 0; !ended.Load(); n++ {
			c.submit(c.hosts[n%len(c.hosts)], fmt.Sprint("job-", n), 5)
			time.Sleep(200 * time.Millisecond)
		}
	})
	return func() int {
		ended.Store(true)
		senders.Wait()
		return int(complete.Load())
	}
}

// awaitEvacuated waits until all hosts know that exactly the zone "zone" is evacuated, or none.
func (c *cluster) awaitEvacuated(evacuated bool, hosts ...*runningHost) {
	c.t.Helper()
	start := time.Now()
	c.await("the hosts know of the evacuation or its end", func() bool {
		for _, h := range hosts {
			if h.directory.View().Evacuations.Includes("zone") != evacuated {
				return false
			}
		}
		return true
	})
	took := time.Since(start)
	assert.Assert(c.t, took < evacuationBound, "it took %v", took)
}

// runsIn returns the number of requests that began at the endpoints of a zone after a time.
func (c *cluster) runsIn(zone string, after time.Time) int {
	count := 0
	for _, e := range c.endpoints {
		for _, r := range e.Runs() {
			if e.Zone == zone && r.At.After(after) {
				count++
			}
		}
	}
	return count
}

// onTheWay is how long after an evacuation is in force a request may still arrive that was sent before, on a busy machine.
const onTheWay = 100 * time.Millisecond

// TestEvacuatedZoneGetsNothing guards against requests, retries and batch items that are sent to an evacuated zone by a host
// of that zone or another one, in a small fleet and in one with allocators, and against requests that an evacuation breaks.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	for name, maxMeshPeers := range map[string]int{"small": wharfgossip.DefaultMaxMeshPeers, "large": 1} {
		t.Run(name, func(t *testing.T) {
			c := newZones(t, maxMeshPeers)
			stop := c.load()
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, c.runsIn("zone", time.Time{}) > 0)
			assert.NilError(t, c.store.StartEvacuation("zone"))
			c.awaitEvacuated(true, c.hosts...)
			inForce := time.Now().Add(onTheWay)
			time.Sleep(2 * time.Second)
			assert.Equal(t, c.runsIn("zone", inForce), 0)
			assert.Assert(t, c.runsIn("other", inForce) > 0)
			assert.NilError(t, c.store.EndEvacuation("zone"))
			c.awaitEvacuated(false, c.hosts...)
			ended := time.Now()
			c.await("the zone gets requests again", func() bool { return c.runsIn("zone", ended) > 0 })
			assert.Assert(t, stop() > 0)
		})
	}
}

// cutOff makes a host's settings name a store of its own, which answers as the cluster's does until cut is set.
func (c *cluster) cutOff(settings *wharfhostsettings.Settings, cut *atomic.Bool) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		c.store.ServeHTTP(w, r)
	}))
	c.t.Cleanup(server.Close)
	settings.Store = netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestEvacuationOutlivesTheStore guards against an evacuation that is forgotten because the store is lost right after its row
// was written: by a host that the store does not answer at the time, and by one that is restarted afterwards.
func TestEvacuationOutlivesTheStore(t *testing.T) {
	c := newZones(t, wharfgossip.DefaultMaxMeshPeers)
	var cut atomic.Bool
	settings := c.hosts[0].settings
	settings.Host = "cut-off"
	settings.Callers, settings.Readiness, settings.Peers, settings.Metrics = freePort(t), freePort(t), freePort(t), freePort(t)
	c.cutOff(&settings, &cut)
	lost := c.run(settings)
	c.await("the host is ready and known", func() bool { return lost.table() != nil && len(c.hosts[0].gossip.Peers()) == 4 })
	cut.Store(true)
	assert.NilError(t, c.store.StartEvacuation("zone"))
	c.awaitEvacuated(true, c.hosts[:4]...)
	c.store.SetFault(func(string) error { return wharfrecords.ErrUnavailable })
	c.awaitEvacuated(true, lost)
	c.hosts[0].kill()
	restarted := c.restart(c.hosts[0])
	c.await("the restarted host is ready", func() bool { return restarted.table() != nil })
	inForce := time.Now()
	for i := range 20 {
		id := fmt.Sprint("r", i)
		c.assertComplete(c.send([]*runningHost{lost, restarted}[i%2], keyA, http.MethodPost, "/resume/x", id, ""), id)
	}
	assert.Equal(t, c.runsIn("zone", inForce), 0)
	c.store.SetFault(nil)
	assert.NilError(t, c.store.EndEvacuation("zone"))
	cut.Store(false)
	c.awaitEvacuated(false, lost, restarted, c.hosts[1])
}

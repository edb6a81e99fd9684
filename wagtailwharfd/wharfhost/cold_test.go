package wharfhost

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
)

const (
	coldPerSecond = 8.3
	coldBound     = 17 // requests in any second: floor(1.5 * coldPerSecond + 5)
)

// startCold makes the cluster's endpoints cold, and waits until all hosts know it if they follow that at all.
func (c *cluster) startCold(endpoints []*wharfstandin.Endpoint, duration time.Duration) {
	c.t.Helper()
	c.configuration.ColdPerSecond, c.configuration.ColdStart = coldPerSecond, duration
	c.applyConfiguration()
	for _, e := range endpoints {
		assert.NilError(c.t, e.StartCold(wharfstandin.ColdStart{Duration: duration, PerSecond: coldPerSecond}))
	}
	time.Sleep(1500 * time.Millisecond) // until changes of registrations are known
}

// awaitWarm waits until no host takes an endpoint for cold.
func (c *cluster) awaitWarm() {
	c.t.Helper()
	c.await("the endpoints are warm again", func() bool {
		cold := 0
		for _, h := range c.hosts {
			count, _ := h.fleet.ColdCounts()
			cold += count
		}
		return cold == 0
	})
}

// sendFor sends requests to the hosts in turn for a time, and returns how many were answered.
func (c *cluster) sendFor(hosts []*runningHost, prefix string, duration, pause time.Duration) int {
	var calls sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	started := time.Now()
	for n := 0; time.Since(started) < duration; n++ {
		time.Sleep(pause)
		calls.Go(func() {
			response := c.send(hosts[n%len(hosts)], keyA, "POST", "/resume/x", fmt.Sprint(prefix, n), "")
			mu.Lock()
			defer mu.Unlock()
			if response.Err == nil && response.Status == 200 {
				answered++
			}
		})
	}
	calls.Wait()
	return answered
}

// assertWithinColdLimit checks that no endpoint got more than it withstands.
func (c *cluster) assertWithinColdLimit(endpoints []*wharfstandin.Endpoint) {
	c.t.Helper()
	for _, e := range endpoints {
		assert.Check(c.t, e.MostColdArrivals() <= coldBound, "%s got %d requests in a second", e.ID, e.MostColdArrivals())
		assert.Check(c.t, e.Crashes() == 0, "%s has crashed %d times", e.ID, e.Crashes())
	}
}

// TestColdEndpointsGetNoMoreThanTheirLimit plays 100 requests a second on four endpoints, of which all or two are cold.
// It guards against hosts that together send a cold endpoint more than it withstands, and against a fleet that serves
// less than the limit allows.
func TestColdEndpointsGetNoMoreThanTheirLimit(t *testing.T) {
	for name, start := range map[string]func(testing.TB, int, int) *cluster{"small": newCluster, "large": newLargeCluster} {
		for _, cold := range []int{4, 2} {
			t.Run(fmt.Sprint(name, " fleet, cold: ", cold), func(t *testing.T) {
				t.Parallel()
				c := start(t, 5, 4)
				c.startCold(c.endpoints[:cold], time.Minute)
				const duration = 3 * time.Second
				answered := c.sendFor(c.hosts, "c", duration, 10*time.Millisecond)
				c.assertWithinColdLimit(c.endpoints[:cold])
				t.Logf("answered: %d", answered)
				if cold < len(c.endpoints) {
					return
				}
				allowed := coldBound / 2 * len(c.endpoints) * int(duration/time.Second)
				assert.Check(t, answered >= allowed*2/3, "%d of %d requests that the limit allows were answered", answered, allowed)
			})
		}
	}
}

// TestCrashedEndpointReturnsCold crashes warm endpoints under load. It guards against full traffic to an endpoint that
// has just started again, which would crash it again and again.
func TestCrashedEndpointReturnsCold(t *testing.T) {
	for name, start := range map[string]func(testing.TB, int, int) *cluster{"small": newCluster, "large": newLargeCluster} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, 5, 3)
			crashing := c.endpoints[:2]
			c.startCold(crashing, 2*time.Second)
			c.awaitWarm()
			time.AfterFunc(time.Second, func() {
				for _, e := range crashing {
					e.Crash()
				}
			})
			answered := c.sendFor(c.hosts, "k", 5*time.Second, 10*time.Millisecond)
			t.Logf("answered: %d", answered)
			for _, e := range crashing {
				assert.Check(t, e.MostColdArrivals() > 0, "%s got no request while it was cold", e.ID)
				assert.Check(t, e.MostColdArrivals() <= coldBound, "%s got %d requests in a second", e.ID, e.MostColdArrivals())
				assert.Check(t, e.Crashes() == 1, "%s has crashed %d times", e.ID, e.Crashes())
			}
		})
	}
}

// TestRestartedHostsKeepToTheColdLimit kills all hosts under load and starts them again. It guards against hosts that
// send what their predecessors have already sent, or that take themselves for the only one.
func TestRestartedHostsKeepToTheColdLimit(t *testing.T) {
	for name, start := range map[string]func(testing.TB, int, int) *cluster{"small": newCluster, "large": newLargeCluster} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, 5, 4)
			c.startCold(c.endpoints, time.Minute)
			c.sendFor(c.hosts, "b", time.Second, 10*time.Millisecond)
			killed := c.hosts
			for _, h := range killed {
				h.kill()
			}
			c.hosts = nil
			for _, h := range killed {
				c.restart(h)
			}
			answered := c.sendFor(c.hosts, "a", 4*time.Second, 10*time.Millisecond)
			c.assertWithinColdLimit(c.endpoints)
			assert.Check(t, answered > 0)
			t.Logf("answered: %d", answered)
		})
	}
}

// TestZoneReturnsColdFromAnEvacuation ends the evacuation of a zone whose endpoints have become cold meanwhile, while their
// registrations still call them warm. It guards against full traffic to them before a registration tells otherwise.
func TestZoneReturnsColdFromAnEvacuation(t *testing.T) {
	for name, maxMeshPeers := range map[string]int{"small": wharfgossip.DefaultMaxMeshPeers, "large": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newZones(t, maxMeshPeers)
			returning := c.endpoints[:2]
			c.startCold(returning, 2*time.Second)
			c.awaitWarm()
			assert.NilError(t, c.store.StartEvacuation("zone"))
			c.awaitEvacuated(true, c.hosts...)
			time.AfterFunc(time.Second, func() {
				for _, e := range returning {
					e.TurnCold()
				}
				assert.Check(t, c.store.EndEvacuation("zone") == nil)
			})
			answered := c.sendFor(c.hosts, "z", 4*time.Second, 5*time.Millisecond)
			t.Logf("answered: %d", answered)
			for _, e := range returning {
				assert.Check(t, e.MostColdArrivals() > 0, "%s got no request while it was cold", e.ID)
			}
			c.assertWithinColdLimit(returning)
			c.awaitWarm()
		})
	}
}

// TestOnlyReadRowsTellOfLostHosts guards against hosts that are cut off from the store, take all others for lost and use
// their shares.
func TestOnlyReadRowsTellOfLostHosts(t *testing.T) {
	c := newCluster(t, 2, 1)
	m := &c.hosts[0].membership
	c.await("the rows are read", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.observed) == 1
	})
	later := time.Now().Add(time.Minute)
	assert.Equal(t, len(m.hostsByZone(later)["zone"]), 2)
	m.mu.Lock()
	m.readAt = later
	m.mu.Unlock()
	assert.Equal(t, len(m.hostsByZone(later)["zone"]), 1)
}

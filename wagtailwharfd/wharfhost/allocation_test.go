package wharfhost

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendToAll sends requests to all hosts at once and checks that each is answered by one run.
func (c *cluster) sendToAll(hosts []*runningHost, prefix string, perHost int) {
	c.t.Helper()
	var requests sync.WaitGroup
	for i, h := range hosts {
		for j := range perHost {
			requests.Go(func() {
				id := fmt.Sprintf("%s-%d-%d", prefix, i, j)
				c.assertComplete(c.send(h, keyA, "POST", "/resume/", id, "body"), id)
				assert.Equal(c.t, len(c.executions(id)), 1, id)
			})
		}
	}
	requests.Wait()
}

// allocated returns the sum of a counter over all hosts.
func (c *cluster) allocated(name string) int {
	total := 0
	for _, h := range c.hosts {
		total += int(h.metrics.Counters()[name])
	}
	return total
}

// TestLargeFleetServesThroughItsAllocators plays requests and a job on daemons that ask an allocator for each slot.
func TestLargeFleetServesThroughItsAllocators(t *testing.T) {
	c := newLargeCluster(t, 5, 3)
	c.sendToAll(c.hosts, "first", 2)
	assert.Equal(t, c.submit(c.hosts[4], "job", 6).Status, 202)
	c.assertJob(c.hosts[3], "job", 6)
	assert.Assert(t, c.allocated("slots-allocated") >= 10+6)
	assert.Assert(t, c.allocated("slots-granted-to-us") > 0)
	c.await("allocators know that all requests have ended", func() bool {
		for _, h := range c.hosts {
			if h.fleet.FreeSlots(assistant) != 3*4 {
				return false
			}
		}
		return true
	})
}

// TestLargeFleetServesOnWhenAnAllocatorIsKilled checks that no request is lost or refused when a zone's first allocator
// is killed, before the other hosts have noticed.
func TestLargeFleetServesOnWhenAnAllocatorIsKilled(t *testing.T) {
	c := newLargeCluster(t, 5, 3)
	c.sendToAll(c.hosts, "before", 1)
	var rest []*runningHost
	for _, h := range c.hosts {
		if h.gossip.Allocators()[0].Self {
			h.kill()
			continue
		}
		rest = append(rest, h)
	}
	assert.Equal(t, len(rest), 4)
	c.sendToAll(rest, "after", 2)
}

// TestAllocatorsAreBackAfterAllHostsWereKilled checks that slots are granted again well before the warm-up of a host
// that starts beside others has passed.
func TestAllocatorsAreBackAfterAllHostsWereKilled(t *testing.T) {
	c := newLargeCluster(t, 4, 2)
	killed := append([]*runningHost{}, c.hosts...)
	for _, h := range killed {
		h.kill()
	}
	c.hosts = nil
	started := time.Now()
	for _, h := range killed {
		c.restart(h)
	}
	c.await("a host allocates slots", func() bool {
		for _, h := range c.hosts {
			if h.allocationCapacity() > 0 {
				return true
			}
		}
		return false
	})
	assert.Assert(t, time.Since(started) < allocationWarmUp, "%v", time.Since(started))
	c.sendToAll(c.hosts, "after", 2)
}

// TestHostWhoseAllocatorsDoNotAnswerGetsTokensFromOtherZones guards against requests that are refused as over their
// organisation's rate by a host that cannot know it.
func TestHostWhoseAllocatorsDoNotAnswerGetsTokensFromOtherZones(t *testing.T) {
	c := newLargeCluster(t, 4, 3)
	c.configuration.Organisations[0].Rate, c.configuration.Organisations[0].Burst = 5, 160
	c.applyConfiguration()
	other := c.startIn("other zone", "host-4")
	var h *runningHost
	for _, candidate := range c.hosts[:4] {
		if candidate.allocationCapacity() > 0 && candidate.admittedBy() != "" && candidate.reservedShares() == 0 {
			h = candidate
		}
	}
	c.await("all hosts know each other and the rate", func() bool {
		for _, host := range c.hosts {
			if organisations := host.table(); organisations == nil || organisations.Organisations[0].Rate != 5 {
				return false
			}
		}
		return len(h.gossip.FirstRemoteAllocators()) == 1 && len(other.gossip.Peers()) == 4 && other.limiter.Give("a", 0.1) > 0
	})
	for i := range 6 {
		for _, a := range h.gossip.Allocators() {
			h.allocator.NoteCall(a.Host, time.Now(), false)
		}
		id := fmt.Sprint("request-", i)
		c.assertComplete(c.send(h, keyA, "POST", "/resume/", id, "body"), id)
	}
}

package wharfdaemon_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf-standin/wharfplatform"
)

var threeHosts = clusterOptions{
	zones: []string{"a", "b"}, daemons: 3, engines: 1, slots: 32, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
}

// chatRefusals sends requests to a host for the given time and returns the number of refusals by code.
func chatRefusals(n *node, length time.Duration) map[string]int {
	refused := map[string]int{}
	for end := time.Now().Add(length); time.Now().Before(end); {
		if r := n.chat(keyOf("alpha"), "hello", 2, false); r.status != http.StatusOK {
			refused[r.code]++
		}
	}
	return refused
}

func TestPartitionedZoneKeepsServing(t *testing.T) {
	c := newCluster(t, threeHosts)
	c.platform.SetFaults(wharfplatform.Faults{PartitionedZones: []string{"a"}})
	c.setPartition(betweenZones)
	for _, n := range c.nodes {
		refused := chatRefusals(n, leaseTerm)
		assert.Equal(t, len(refused), 0, "%s refused %v", n.settings.Host, refused)
	}
}

func TestIsolatedHostStopsKeyedRequests(t *testing.T) {
	c := newCluster(t, threeHosts)
	isolated := c.nodes[0]
	c.setPartition(func(from, to string) bool { return from == isolated.settings.Host || to == isolated.settings.Host })
	// The other hosts still reach the platform. In a zone of three, the platform's table has no vote, so the isolated
	// host cannot renew its lease through it.
	time.Sleep(leaseTerm + leaseMargin)
	r := isolated.chat(keyOf("alpha"), "hello", 2, false)
	assert.Equal(t, r.code, "host-fenced")
	assert.Equal(t, r.runState, "not-run")
	open := isolated.send(http.MethodPost, "/services/ledger/open/x", "", nil, "open")
	assert.Equal(t, open.status, http.StatusOK)
	refused := chatRefusals(c.nodes[1], leaseTerm)
	assert.Equal(t, len(refused), 0, "%v", refused)

	c.eventually(10*leaseTerm, func() bool { return len(c.members("a")) == 2 })
	c.setPartition(nil)
	c.eventually(10*leaseTerm, func() bool { return isolated.daemon.Ready() == nil })
	assert.Equal(t, isolated.chat(keyOf("alpha"), "hello", 2, false).status, http.StatusOK)
}

// members returns the hosts of a zone as the last host lists them.
func (c *cluster) members(zone string) []string {
	var hosts []struct {
		Host string `json:"host"`
		Zone string `json:"availability-zone"`
	}
	c.nodes[len(c.nodes)-1].callOperator(http.MethodGet, "/v1/hosts", nil, &hosts)
	var members []string
	for _, h := range hosts {
		if h.Zone == zone {
			members = append(members, h.Host)
		}
	}
	return members
}

func TestPlatformOutageStopsNoOnlineRequest(t *testing.T) {
	for _, daemons := range []int{2, 3} {
		s := threeHosts
		s.daemons = daemons
		c := newCluster(t, s)
		c.eventually(leaseTerm, func() bool { return len(chatRefusals(c.nodes[0], leaseTerm/4)) == 0 })
		c.platform.SetFaults(wharfplatform.Faults{Down: true})
		for _, n := range c.nodes {
			refused := chatRefusals(n, leaseTerm)
			assert.Equal(t, len(refused), 0, "%s refused %v", n.settings.Host, refused)
		}
		c.platform.SetFaults(wharfplatform.Faults{})
	}
}

func TestKilledHostIsReclaimedAndRejoins(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a"}, daemons: 2, engines: 1, slots: 16, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	c.nodes[0].kill()
	c.eventually(10*leaseTerm, func() bool { return len(c.members("a")) == 1 })
	c.eventually(5*leaseTerm, func() bool {
		return c.nodes[1].chat(keyOf("alpha"), "hello", 2, false).status == http.StatusOK
	})
	c.nodes[0] = c.run(c.nodes[0].settings)
	c.awaitReady()
	assert.Equal(t, len(c.members("a")), 2)
}

func TestWholeZoneRestarts(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a"}, daemons: 3, engines: 1, slots: 16, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	for _, n := range c.nodes {
		n.kill()
	}
	for i, n := range c.nodes {
		c.nodes[i] = c.run(n.settings)
	}
	c.awaitReady()
	c.eventually(5*leaseTerm, func() bool {
		return c.nodes[1].chat(keyOf("alpha"), "hello", 2, false).status == http.StatusOK
	})
}

package wharfhost

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/protocol/wharfhostsettings"
)

// TestRequestsRunInAllowedRegions guards against requests, batch items and jobs of a limited organisation in a region that is not
// allowed, and against a limit that applies to others.
func TestRequestsRunInAllowedRegions(t *testing.T) {
	for name, maxMeshPeers := range map[string]int{"small": wharfgossip.DefaultMaxMeshPeers, "large": 1} {
		t.Run(name, func(t *testing.T) {
			c, hosts := newRegions(t, maxMeshPeers)
			start := time.Now()
			for i := range 40 {
				id := fmt.Sprint("a", i)
				c.assertComplete(c.send(hosts[i%4], keyA, http.MethodPost, "/resume/x", id, ""), id)
			}
			assert.Equal(t, c.submit(hosts[0], "job", 8).Status, http.StatusAccepted)
			c.assertJob(hosts[2], "job", 8)
			assert.Equal(t, c.runsIn("zone", start), 0)
			for i := range 40 {
				id := fmt.Sprint("b", i)
				c.assertComplete(c.send(hosts[i%4], keyB, http.MethodPost, "/resume/x", id, ""), id)
			}
			assert.Assert(t, c.runsIn("zone", start) > 0)
			c.assertNoRegion(hosts)
		})
	}
}

// newRegions starts two hosts and two endpoints in each of two regions, of which organisation a may use the second one.
func newRegions(t *testing.T, maxMeshPeers int) (*cluster, []*runningHost) {
	t.Helper()
	c := newClusterOf(t, 0, 2, maxMeshPeers)
	for i := range 2 {
		e, err := wharfstandin.StartEndpoint(c.store, fmt.Sprint("o", i), assistant, "other", 4)
		assert.NilError(t, err)
		t.Cleanup(e.Stop)
		c.endpoints = append(c.endpoints, e)
	}
	c.setRegions = func(s *wharfhostsettings.Settings) { s.Zones = map[string]string{"zone": "here", "other": "there"} }
	c.configuration.Organisations[0].AllowedRegions = []string{"there"}
	c.applyConfiguration()
	hosts := []*runningHost{c.start("host-0"), c.start("host-1"), c.startIn("other", "other-0"), c.startIn("other", "other-1")}
	c.await("all hosts know each other and the endpoints", func() bool {
		for _, h := range hosts {
			if len(h.gossip.Peers()) != 3 || len(h.directory.View().Endpoints) != 4 || h.table() == nil {
				return false
			}
		}
		return true
	})
	return c, hosts
}

// assertNoRegion checks that a request for which no region is left is refused and not run.
func (c *cluster) assertNoRegion(hosts []*runningHost) {
	c.t.Helper()
	c.configuration.Organisations[0].AllowedRegions = []string{"nowhere"}
	c.applyConfiguration()
	c.await("the limit is in force", func() bool { return hosts[0].table().Version == c.version && hosts[2].table().Version == c.version })
	for i, h := range []*runningHost{hosts[0], hosts[2]} {
		resp := c.send(h, keyA, http.MethodPost, "/resume/x", fmt.Sprint("none", i), "")
		assert.Equal(c.t, resp.Status, http.StatusServiceUnavailable)
		assert.Assert(c.t, resp.RetryAfter > 0)
		assert.Equal(c.t, len(c.executions(fmt.Sprint("none", i))), 0)
	}
}

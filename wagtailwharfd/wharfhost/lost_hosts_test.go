package wharfhost

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharffleet"
)

// loseHost plays a host that reports loads and then, like a machine without power, neither sends nor refuses anything.
func (c *cluster) loseHost(name, zone string, loads, zoneLoads []wharffleet.Load) {
	c.t.Helper()
	address := freePort(c.t)
	listener, err := net.Listen("tcp", address.String()) // its backlog takes connections that nobody answers
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = listener.Close() })
	incarnation := uint64(time.Now().UnixNano())
	row, err := cbor.Marshal(hostRow{Zone: zone, Address: address, Incarnation: incarnation, Refreshed: 1})
	assert.NilError(c.t, err)
	_, err = c.store.Apply(wharfrecords.Transaction{Puts: []wharfrecords.Row{{Table: hostTable, Key: name, Value: row}}})
	assert.NilError(c.t, err)
	messages := []wharfgossip.Message{{Loads: loads}}
	if zoneLoads != nil {
		messages = append(messages, wharfgossip.Message{Partial: true, ZoneLoads: zoneLoads})
	}
	for _, h := range c.hosts {
		conn, err := net.Dial("udp", h.settings.Peers.String())
		assert.NilError(c.t, err)
		for i, m := range messages {
			m.Host, m.Zone, m.Address, m.Incarnation, m.Sequence = name, zone, address, incarnation, uint64(i+1)
			data, err := cbor.Marshal(m)
			assert.NilError(c.t, err)
			_, err = conn.Write(data)
			assert.NilError(c.t, err)
		}
		_ = conn.Close()
	}
}

// TestSlotsOfLostHostsAreFreeAgain guards against hosts that count the slots of a lost machine as taken for ever, so that
// nothing runs while all endpoints are idle (review/1).
func TestSlotsOfLostHostsAreFreeAgain(t *testing.T) {
	const endpoints, half = 3, 2
	report := func(c *cluster, online, batch int) (loads []wharffleet.Load) {
		for _, e := range c.endpoints {
			loads = append(loads, wharffleet.Load{Endpoint: e.ID, Online: online, Batch: batch})
		}
		return loads
	}
	for name, c := range map[string]struct {
		large bool
		lose  func(c *cluster)
	}{
		"a host with items":    {false, func(c *cluster) { c.loseHost("lost", "zone", report(c, 0, 2*half), nil) }},
		"a host with requests": {false, func(c *cluster) { c.loseHost("lost", "zone", report(c, 2*half, 0), nil) }},
		"two hosts at once": {false, func(c *cluster) {
			c.loseHost("lost-1", "zone", report(c, half, 0), nil)
			c.loseHost("lost-2", "zone", report(c, 0, half), nil)
		}},
		"a host of the zone of an allocator": {true, func(c *cluster) { c.loseHost("lost", "zone", report(c, 0, 2*half), nil) }},
		"the allocator of another zone": {true, func(c *cluster) {
			c.loseHost("lost", "other", []wharffleet.Load{}, report(c, half, half))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := newCluster
			if c.large {
				start = newLargeCluster
			}
			cluster := start(t, 3, endpoints)
			c.lose(cluster)
			cluster.await("the loads are counted", func() bool { return cluster.hosts[0].fleet.FreeSlots(assistant) == 0 })
			assert.Equal(t, cluster.submit(cluster.hosts[0], "job", 20).Status, http.StatusAccepted)
			cluster.assertJob(cluster.hosts[1], "job", 20)
			for _, h := range cluster.hosts {
				assert.Equal(t, cluster.send(h, keyA, "POST", "/once/x", "after-"+h.settings.Host, "").Status, http.StatusOK)
			}
		})
	}
}

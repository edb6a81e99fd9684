package wharfallocator

import (
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpick"
)

// makeCold makes the endpoints of all hosts cold.
func (z *zoneFleet) makeCold() {
	for _, h := range z.hosts {
		h.fleet.LimitCold(map[string]float64{"s": 8.3})
		h.fleet.SetSenders(map[string][]string{"near": {"h0", "h1", "h2", "h3"}, "far": {"f0"}})
		h.fleet.Update([]wharffleet.Endpoint{
			{
				ID: "near", Service: "s", Zone: "near", Slots: slots, Address: netip.MustParseAddrPort("10.0.0.1:80"),
				ColdUntil: time.Now().Add(time.Hour),
			},
			{
				ID: "far", Service: "s", Zone: "far", Slots: slots, Address: netip.MustParseAddrPort("10.0.0.2:80"),
				ColdUntil: time.Now().Add(time.Hour),
			},
		})
	}
	time.Sleep(2 * time.Second)
}

// acquireAll has a host send what it may to the endpoint of its zone, and returns the number of requests.
func (z *zoneFleet) acquireAll(host string) (sent int) {
	z.t.Helper()
	for range 20 {
		p, err := z.acquire(host, time.Second)
		if err != nil {
			assert.Assert(z.t, errors.Is(err, wharfpick.ErrAllCold), "%s: %v", host, err)
			return sent
		}
		assert.Equal(z.t, p.Endpoint.ID, "near", "other zones' hosts hold no share")
		sent++
		p.Release()
		z.report(host)
	}
	return sent
}

// TestColdEndpointsGetTheirLimitThroughAnyAllocator has hosts send what they may to a cold endpoint, through the first
// allocator, the second one, or by themselves. It guards against grants beyond the limit while allocators are handed over,
// and against hosts that wait or ask elsewhere when all endpoints are cold.
func TestColdEndpointsGetTheirLimitThroughAnyAllocator(t *testing.T) {
	for name, down := range map[string][]string{"first": nil, "second": {"h0"}, "none": {"h0", "h1"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZoneFleet(t)
				z.makeCold()
				sent := 0
				for _, host := range []string{"h2", "h3", "h0", "h1"} {
					for _, other := range down {
						z.down[other] = errDown
					}
					sent += z.acquireAll(host)
					z.down = map[string]error{} // the first allocators are back
				}
				assert.Equal(t, sent, 8)
				p, err := z.acquire("f0", 0)
				assert.NilError(t, err)
				assert.Equal(t, p.Endpoint.ID, "far")
			})
		})
	}
}

package wharfallocator

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharffleet"
)

const slots = 2

var errDown = errors.New("connection refused")

// zoneFleet is a fleet of two zones with one endpoint each. Hosts h0 and h1 are the allocators of zone near, f0 of zone
// far; hosts tell each other their loads when the test says so.
type zoneFleet struct {
	t     *testing.T
	hosts map[string]*testHost
	down  map[string]error // by host, why calls to it fail
}

type testHost struct {
	*Allocator
	name      string
	fleet     *wharffleet.Fleet
	gate      *wharfgate.Gate[*wharffleet.Placement]
	ready     bool
	mu        sync.Mutex // guards counts
	counts    map[string]int
	preempted []string
}

func newZoneFleet(t *testing.T) *zoneFleet {
	z := &zoneFleet{t: t, hosts: map[string]*testHost{}, down: map[string]error{}}
	for _, name := range []string{"h0", "h1", "h2", "h3", "f0"} {
		z.addHost(name)
	}
	return z
}

func (z *zoneFleet) addHost(name string) {
	zone := "near"
	if name == "f0" {
		zone = "far"
	}
	h := &testHost{name: name, ready: true, counts: map[string]int{}, gate: wharfgate.New[*wharffleet.Placement]()}
	h.fleet = wharffleet.New(name, zone, func() {})
	h.fleet.Update([]wharffleet.Endpoint{
		{ID: "near", Service: "s", Zone: "near", Slots: slots, Address: netip.MustParseAddrPort("10.0.0.1:80")},
		{ID: "far", Service: "s", Zone: "far", Slots: slots, Address: netip.MustParseAddrPort("10.0.0.2:80")},
	})
	allocators := map[string][]string{"near": {"h0", "h1"}, "far": {"f0"}}
	list := func(zone string) (hosts []wharfgossip.AllocatorHost) {
		for _, host := range allocators[zone] {
			hosts = append(hosts, wharfgossip.AllocatorHost{Host: host, Self: host == name})
		}
		return hosts
	}
	h.Allocator = New(Options{
		Fleet: h.fleet, Gate: h.gate,
		Allocators: func() []wharfgossip.AllocatorHost { return list(zone) },
		Remote:     list,
		Ready:      func() bool { return h.ready },
		Call: func(ctx context.Context, to wharfgossip.AllocatorHost, r Reservation) (Grant, error) {
			if err := z.down[to.Host]; err != nil {
				if errors.Is(err, context.DeadlineExceeded) {
					<-ctx.Done()
				}
				return Grant{}, err
			}
			return z.hosts[to.Host].Grant(context.Background(), r), nil
		},
		Preempt: func(endpoint string) { h.preempted = append(h.preempted, endpoint) },
		Count: func(name string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.counts[name]++
		},
	})
	z.hosts[name] = h
}

// report tells a host's loads to the allocators.
func (z *zoneFleet) report(name string) {
	for _, to := range []string{"h0", "h1", "f0"} {
		if to != name {
			z.hosts[to].fleet.ReplaceLoads(name, z.hosts[name].fleet.Loads())
			z.hosts[to].gate.Dispatch("s")
		}
	}
}

func (z *zoneFleet) acquire(name string, maxWait time.Duration) (*wharffleet.Placement, error) {
	return z.hosts[name].Acquire(context.Background(), Request{Service: "s", Organisation: "o", Weight: 1, MaxWait: maxWait})
}

func (z *zoneFleet) mustAcquire(name, endpoint string) *wharffleet.Placement {
	z.t.Helper()
	p, err := z.acquire(name, 0)
	assert.NilError(z.t, err)
	assert.Equal(z.t, p.Endpoint.ID, endpoint)
	return p
}

// TestNoSlotIsGrantedTwice has hosts place requests at the same moment, before any of them has reported a load. Each
// must get a slot of its own, in the other zone too, and those that find none are refused.
func TestNoSlotIsGrantedTwice(t *testing.T) {
	z := newZoneFleet(t)
	z.mustAcquire("h2", "near")
	z.mustAcquire("h3", "near")
	z.mustAcquire("h2", "far")
	z.mustAcquire("h3", "far")
	for _, name := range []string{"h0", "h2", "f0"} {
		_, err := z.acquire(name, 0)
		assert.ErrorIs(t, err, wharfgate.ErrBusy, name)
	}
	assert.Equal(t, z.hosts["h0"].counts["slots-granted-elsewhere"], 2)
}

// TestAllocatorPlacesItsOwnRequestsInTheOtherZone checks that an allocator that gets a slot elsewhere holds it itself.
func TestAllocatorPlacesItsOwnRequestsInTheOtherZone(t *testing.T) {
	z := newZoneFleet(t)
	z.mustAcquire("h0", "near")
	z.mustAcquire("h0", "near")
	p := z.mustAcquire("h0", "far")
	assert.Equal(t, len(z.hosts["h0"].fleet.Loads()), 2)
	p.Release()
	assert.Equal(t, len(z.hosts["h0"].fleet.Loads()), 1)
}

// TestRequestsOfAllHostsWaitInOneQueue checks that a request waits at the allocator until another host's request ends.
func TestRequestsOfAllHostsWaitInOneQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoneFleet(t)
		var first *wharffleet.Placement
		for range slots {
			first = z.mustAcquire("h2", "near")
			z.mustAcquire("f0", "far")
		}
		z.report("h2")
		z.report("f0")
		started := time.Now()
		done := make(chan error)
		go func() {
			_, err := z.acquire("h3", time.Second)
			done <- err
		}()
		time.Sleep(20 * time.Millisecond)
		first.Release()
		z.report("h2")
		assert.NilError(t, <-done)
		assert.Equal(t, time.Since(started), 20*time.Millisecond)
	})
}

// TestSecondAllocatorAnswersWhenTheFirstDoesNot checks how long a request loses to a first allocator that has ended or
// is paused, and that the next one does not.
func TestSecondAllocatorAnswersWhenTheFirstDoesNot(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		wait time.Duration
	}{
		"ended": {err: errDown}, "paused": {err: context.DeadlineExceeded, wait: answerTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZoneFleet(t)
				z.mustAcquire("h3", "near")
				z.report("h3")
				z.down["h0"] = c.err
				start := time.Now()
				z.mustAcquire("h2", "near")
				assert.Equal(t, time.Since(start), c.wait)
				z.mustAcquire("h2", "far") // the second allocator knows that the near endpoint is full
				assert.Equal(t, time.Since(start), c.wait)
				assert.Equal(t, z.hosts["h2"].counts["allocator-timeouts"], 1)
				z.down["h0"] = nil
				time.Sleep(suspension)
				assert.Assert(t, !z.hosts["h2"].IsSuspended("h0"))
			})
		})
	}
}

// TestAllocatorThatAnswersOtherCallsIsAskedOn guards against an allocator that is given up for a second, with all its knowledge
// of the zone, because one answer is late.
func TestAllocatorThatAnswersOtherCallsIsAskedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoneFleet(t)
		z.down["h0"] = context.DeadlineExceeded
		late := make(chan error)
		go func() {
			_, err := z.acquire("h2", 0)
			late <- err
		}()
		synctest.Wait()
		z.down["h0"] = nil
		time.Sleep(answerTimeout / 2)
		z.mustAcquire("h2", "near")
		assert.NilError(t, <-late, "the second allocator places the request")
		assert.Assert(t, !z.hosts["h2"].IsSuspended("h0"))
	})
}

// TestHostWithoutAllocatorPlacesByItself checks that a host that is cut off from its zone still serves.
func TestHostWithoutAllocatorPlacesByItself(t *testing.T) {
	z := newZoneFleet(t)
	z.down["h0"], z.down["h1"] = errDown, errDown
	p, err := z.acquire("h2", 0)
	assert.NilError(t, err)
	assert.Assert(t, p != nil)
}

// TestHostThatDoesNotKnowTheEndpointsYetIsPassedOver guards against a restarted host that refuses its zone's requests.
func TestHostThatDoesNotKnowTheEndpointsYetIsPassedOver(t *testing.T) {
	z := newZoneFleet(t)
	z.hosts["h0"].ready = false
	z.mustAcquire("h2", "near")
	assert.Equal(t, z.hosts["h1"].counts["slots-allocated"], 1)
	assert.Assert(t, !z.hosts["h2"].IsSuspended("h0"))
}

// TestSlotOfACallerThatHasLeftIsGivenBack covers a caller that disconnects while its request waits at the allocator.
func TestSlotOfACallerThatHasLeftIsGivenBack(t *testing.T) {
	z := newZoneFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := z.hosts["h2"].Acquire(ctx, Request{Service: "s"})
	assert.ErrorIs(t, err, context.Canceled)
	z.report("h2")
	z.mustAcquire("h3", "near")
	z.mustAcquire("h3", "near")
}

// TestGrantOfAnUnknownEndpointIsNoRefusal covers an allocator of another zone that knows an endpoint which this zone's
// allocator has not read of yet.
func TestGrantOfAnUnknownEndpointIsNoRefusal(t *testing.T) {
	z := newZoneFleet(t)
	z.hosts["f0"].fleet.Update([]wharffleet.Endpoint{
		{ID: "new", Service: "s", Zone: "far", Slots: slots, Address: netip.MustParseAddrPort("10.0.0.3:80")},
	})
	z.mustAcquire("h0", "near")
	z.mustAcquire("h0", "near")
	z.mustAcquire("h0", "far")
}

func TestItemsTakeNoSlotWhileOnlineRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoneFleet(t)
		var held []*wharffleet.Placement
		for range slots {
			held = append(held, z.mustAcquire("h2", "near"))
			z.mustAcquire("f0", "far")
		}
		z.report("h2")
		z.report("f0")
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := z.acquire("h3", time.Second)
				done <- err
			}()
		}
		synctest.Wait()
		held[0].Release()
		z.report("h2")
		assert.NilError(t, <-done)
		_, err := z.hosts["h2"].Acquire(context.Background(), Request{Service: "s", Batch: true})
		assert.ErrorIs(t, err, wharfgate.ErrBusy)
		held[1].Release()
		z.report("h2")
		assert.NilError(t, <-done)
	})
}

// TestOnlineRequestTakesTheSlotOfAnItem checks that the allocator has an item stopped, not the host that asked.
func TestOnlineRequestTakesTheSlotOfAnItem(t *testing.T) {
	z := newZoneFleet(t)
	for range slots {
		z.hosts["h0"].fleet.ReplaceLoads("h3", []wharffleet.Load{{Endpoint: "near", Batch: slots}})
		z.hosts["f0"].fleet.ReplaceLoads("h3", []wharffleet.Load{{Endpoint: "far", Online: slots}})
	}
	z.mustAcquire("h2", "near")
	assert.DeepEqual(t, z.hosts["h0"].preempted, []string{"near"})
	assert.Equal(t, len(z.hosts["h2"].preempted), 0)
}

// TestServiceWithEndpointsInOtherZonesOnly guards against a zone that refuses what only other zones can serve.
func TestServiceWithEndpointsInOtherZonesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoneFleet(t)
		for _, h := range z.hosts {
			h.fleet.Update([]wharffleet.Endpoint{
				{ID: "far", Service: "s", Zone: "far", Slots: slots, Address: netip.MustParseAddrPort("10.0.0.2:80")},
			})
		}
		first := z.mustAcquire("h2", "far")
		z.mustAcquire("h3", "far")
		z.report("h2")
		z.report("h3")
		done := make(chan error)
		go func() {
			_, err := z.acquire("h2", time.Second)
			done <- err
		}()
		time.Sleep(20 * time.Millisecond)
		first.Release()
		z.report("h2")
		assert.NilError(t, <-done)
	})
}

// TestCutZoneDelaysARequestOnce checks what a request loses when the allocators of the zone that it is forwarded to do
// not answer.
func TestCutZoneDelaysARequestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoneFleet(t)
		z.mustAcquire("h2", "near")
		z.mustAcquire("h2", "near")
		z.down["f0"] = context.DeadlineExceeded
		start := time.Now()
		_, err := z.acquire("h2", 0)
		assert.ErrorIs(t, err, wharfgate.ErrBusy)
		assert.Equal(t, time.Since(start), forwardTimeout)
		_, err = z.acquire("h3", 0)
		assert.ErrorIs(t, err, wharfgate.ErrBusy)
		assert.Equal(t, time.Since(start), forwardTimeout)
	})
}

// TestOnlineRequestTakesTheSlotOfAnItemInAnotherZone guards against online requests that are refused because batch items
// hold the slots of other zones (soak seed 910001).
func TestOnlineRequestTakesTheSlotOfAnItemInAnotherZone(t *testing.T) {
	z := newZoneFleet(t)
	z.hosts["h0"].fleet.ReplaceLoads("h3", []wharffleet.Load{{Endpoint: "near", Online: slots}})
	z.hosts["h0"].fleet.ReplaceLoads("zone/far", []wharffleet.Load{{Endpoint: "far", Batch: slots}})
	z.hosts["f0"].fleet.ReplaceLoads("f1", []wharffleet.Load{{Endpoint: "far", Batch: slots}})
	z.mustAcquire("h2", "far")
	assert.DeepEqual(t, z.hosts["f0"].preempted, []string{"far"})
	_, err := z.hosts["h2"].Acquire(context.Background(), Request{Service: "s", Batch: true})
	assert.ErrorIs(t, err, wharfgate.ErrBusy, "an item takes no other item's slot")
}

func TestForwardedReservationIsNotForwardedAgain(t *testing.T) {
	z := newZoneFleet(t)
	f0 := z.hosts["f0"]
	for i := range slots + 1 {
		grant := f0.Grant(context.Background(), Reservation{
			Service: "s", MaxWait: time.Second, Forwarded: true, Requester: wharffleet.Requester{Host: fmt.Sprint(i)},
		})
		assert.Equal(t, grant.Refusal == Granted, i < slots)
	}
	assert.Equal(t, len(z.hosts["h0"].counts), 0)
}

package wharffleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfoutcome"
	"wagtailwharf.example/wharf/state/wharfpick"
)

// cluster is a set of hosts with the same endpoints that exchange changes with a delay.
type cluster struct {
	fleets    []*Fleet
	ejections int
}

func newCluster(hosts int, zones ...string) *cluster {
	c := &cluster{}
	for i := range hosts {
		f := New(fmt.Sprintf("h%d", i), "near", func() {})
		f.Update(endpoints(zones...))
		c.fleets = append(c.fleets, f)
	}
	return c
}

// exchange applies the changes of each host to all others.
func (c *cluster) exchange() {
	for i, f := range c.fleets {
		var loads []Load
		for _, change := range f.Changes() {
			loads = append(loads, change.Load)
		}
		for j, other := range c.fleets {
			if i != j {
				c.ejections += len(other.ApplyChanges(f.host, loads))
			}
		}
	}
}

// send places a request from a host, and returns its endpoint and whether it failed there.
func (c *cluster) send(host int, r Request, fails func(id string) bool) (id string, failed bool) {
	r.Service = "s"
	p, err := c.fleets[host].Pick(r)
	if err != nil {
		return "", false
	}
	defer p.Release()
	if fails(p.Endpoint.ID) {
		p.Fail(wharfoutcome.ConnectionLost)
		return p.Endpoint.ID, true
	}
	p.Succeed()
	return p.Endpoint.ID, false
}

// TestHostsShareFaultsOfFailingEndpoint guards against each host having to see the faults of a failing endpoint itself.
// 58 hosts send a request every 100 ms each, while one of 22 endpoints resets every connection for a second.
func TestHostsShareFaultsOfFailingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 58
		zones := make([]string, 22)
		for i := range zones {
			zones[i] = "near"
		}
		c := newCluster(hosts, zones...)
		lost, succeeded := 0, 0
		for range 10 {
			for i := range hosts {
				if _, failed := c.send(i, Request{}, func(id string) bool { return id == "e0" }); failed {
					lost++
				} else {
					succeeded++
				}
				if i%10 == 9 {
					c.exchange() // every 17 ms
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, lost >= sharedFaultsToEject && lost <= 4*sharedFaultsToEject, "%d requests were lost", lost)
		assert.Assert(t, succeeded > 9*hosts)
	})
}

// TestOccasionalFaultsRarelyEject guards against ejecting endpoints that work: each loses one response in ten.
func TestOccasionalFaultsRarelyEject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(30, "near", "near", "near", "near", "near", "near", "near", "near")
		requests := 0
		for range 100 {
			for i := range c.fleets {
				if id, _ := c.send(i, Request{}, func(string) bool { return rand.IntN(10) == 0 }); id != "" {
					requests++
				}
				c.exchange()
			}
			time.Sleep(20 * time.Millisecond)
		}
		assert.Equal(t, requests, 3000)
		assert.Assert(t, c.ejections <= 5*len(c.fleets), "%d ejections in 3,000 requests", c.ejections)
	})
}

func TestPeersReadmitOnlyPeerEjections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		faults := []Load{{Endpoint: "e0", Faults: sharedFaultsToEject}}
		ejections := f.ApplyChanges("a", faults)
		assert.Equal(t, len(ejections), 1)
		assert.Equal(t, ejections[0].Faults, sharedFaultsToEject)
		assert.Assert(t, ejections[0].Duration >= firstBackoff && ejections[0].Duration <= 2*firstBackoff)
		_, err := f.Pick(Request{Service: "s"})
		assert.Assert(t, errors.Is(err, wharfpick.ErrNoEndpoint))
		f.ApplyChanges("b", []Load{{Endpoint: "e0", Served: 1}})
		p := pick(t, f, false)
		p.Fail(wharfoutcome.NotSent)
		p.Release()
		f.ApplyChanges("b", []Load{{Endpoint: "e0", Served: 1}})
		_, err = f.Pick(Request{Service: "s"})
		assert.Assert(t, errors.Is(err, wharfpick.ErrNoEndpoint), "the endpoint may be unreachable from this host alone")
	})
}

func TestOldSharedFaultsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		for range sharedFaultsToEject {
			assert.Equal(t, len(f.ApplyChanges("a", []Load{{Endpoint: "e0", Faults: 1}})), 0)
			time.Sleep(sharedFaultWindow + time.Millisecond)
		}
	})
}

func TestLastAttemptsAreNotProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near", "near")
		f.ApplyChanges("a", []Load{{Endpoint: "e0", Faults: sharedFaultsToEject}})
		time.Sleep(2 * firstBackoff)
		for range slots {
			p, err := f.Pick(Request{Service: "s", LastAttempt: true})
			assert.NilError(t, err)
			assert.Equal(t, p.Endpoint.ID, "e1")
		}
		p, err := f.Pick(Request{Service: "s", LastAttempt: true})
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint.ID, "e0", "a probe is better than no attempt")
	})
}

func TestEndpointIsSuspectOnlyShortlyAfterFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		assert.Assert(t, !pick(t, f, false).Suspect)
		f.ApplyChanges("a", []Load{{Endpoint: "e0", Faults: 1}})
		assert.Assert(t, pick(t, f, false).Suspect)
		time.Sleep(suspectPeriod)
		assert.Assert(t, !pick(t, f, false).Suspect, "the endpoint may have recovered and failed because of another request")
	})
}

func TestChangesReportEachFaultOnce(t *testing.T) {
	f := newFleet("near")
	p := pick(t, f, false)
	p.Fail(wharfoutcome.ConnectionLost)
	p.Release()
	timedOut := pick(t, f, false)
	timedOut.Fail(wharfoutcome.TimedOut)
	timedOut.Release()
	changes := f.Changes()
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, changes[0].Load, Load{Endpoint: "e0", Faults: 1, Sent: 2})
	pick(t, f, false).Succeed()
	assert.DeepEqual(t, f.Loads(), []Load{{Endpoint: "e0", Online: 1, Sent: 3}})
	assert.DeepEqual(t, f.Changes()[0].Load, Load{Endpoint: "e0", Online: 1, Served: 1, Sent: 3})
	assert.DeepEqual(t, f.Changes(), []Change{})
}

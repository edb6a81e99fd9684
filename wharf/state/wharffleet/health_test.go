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

// crowd is several hosts with the same endpoints, which hear of each other's changes a little later.
type crowd struct {
	fleets []*Fleet
	ejects int
}

func newCrowd(hosts int, zones ...string) *crowd {
	c := &crowd{}
	for i := range hosts {
		f := New(fmt.Sprintf("h%d", i), "near", func() {})
		f.Update(endpoints(zones...))
		c.fleets = append(c.fleets, f)
	}
	return c
}

// tell hands the changes of all hosts to all others.
func (c *crowd) tell() {
	for i, f := range c.fleets {
		var loads []Load
		for _, change := range f.Changes() {
			loads = append(loads, change.Load)
		}
		for j, other := range c.fleets {
			if i != j {
				c.ejects += len(other.ApplyChanges(f.host, loads))
			}
		}
	}
}

// try sends a request from a host and reports where it went and whether it was broken off.
func (c *crowd) try(host int, r Request, breaks func(id string) bool) (id string, broken bool) {
	r.Service = "s"
	p, err := c.fleets[host].Pick(r)
	if err != nil {
		return "", false
	}
	defer p.Release()
	if breaks(p.Endpoint.ID) {
		p.Fail(wharfoutcome.ConnectionLost)
		return p.Endpoint.ID, true
	}
	p.Succeed()
	return p.Endpoint.ID, false
}

// TestHostsLearnFromEachOtherThatAnEndpointBreaksOff plays the load of 58 hosts, each with a request every tenth of a
// second, while one of 22 endpoints resets every connection for a second, as on a recorded day.
func TestHostsLearnFromEachOtherThatAnEndpointBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 58
		zones := make([]string, 22)
		for i := range zones {
			zones[i] = "near"
		}
		c := newCrowd(hosts, zones...)
		broken, good := 0, 0
		for range 10 {
			for i := range hosts {
				if _, failed := c.try(i, Request{}, func(id string) bool { return id == "e0" }); failed {
					broken++
				} else {
					good++
				}
				if i%10 == 9 {
					c.tell() // 17 ms
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, broken >= runToEject && broken <= 4*runToEject, "%d requests were broken off", broken)
		assert.Assert(t, good > 9*hosts)
	})
}

// TestEndpointsThatLoseSomeAnswersStay plays hosts at endpoints of which each loses one answer in ten.
func TestEndpointsThatLoseSomeAnswersStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(30, "near", "near", "near", "near", "near", "near", "near", "near")
		requests := 0
		for range 100 {
			for i := range c.fleets {
				if id, _ := c.try(i, Request{}, func(string) bool { return rand.IntN(10) == 0 }); id != "" {
					requests++
				}
				c.tell()
			}
			time.Sleep(20 * time.Millisecond)
		}
		assert.Equal(t, requests, 3000)
		assert.Assert(t, c.ejects <= 5*len(c.fleets), "%d times a host kept away from an endpoint in 3,000 requests", c.ejects)
	})
}

func TestWordOfPeersIsTakenBackByPeersAndOwnFaultsAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		broken := []Load{{Endpoint: "e0", Faults: runToEject}}
		ejections := f.ApplyChanges("a", broken)
		assert.Equal(t, len(ejections), 1)
		assert.Equal(t, ejections[0].Faults, runToEject)
		assert.Assert(t, ejections[0].Duration >= firstBackoff && ejections[0].Duration <= 2*firstBackoff)
		_, err := f.Pick(Request{Service: "s"})
		assert.Assert(t, errors.Is(err, wharfpick.ErrNoEndpoint))
		f.ApplyChanges("b", []Load{{Endpoint: "e0", Served: 1}})
		p := pick(t, f, false)
		p.Fail(wharfoutcome.NotSent)
		p.Release()
		f.ApplyChanges("b", []Load{{Endpoint: "e0", Served: 1}})
		_, err = f.Pick(Request{Service: "s"})
		assert.Assert(t, errors.Is(err, wharfpick.ErrNoEndpoint), "it may be out of this host's reach alone")
	})
}

func TestFaultsLongAgoAreNoRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		for range runToEject {
			assert.Equal(t, len(f.ApplyChanges("a", []Load{{Endpoint: "e0", Faults: 1}})), 0)
			time.Sleep(runKept + time.Millisecond)
		}
	})
}

func TestRequestsThatRunOnceAreNoTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near", "near")
		f.ApplyChanges("a", []Load{{Endpoint: "e0", Faults: runToEject}})
		time.Sleep(2 * firstBackoff)
		for range slots {
			p, err := f.Pick(Request{Service: "s", LastAttempt: true})
			assert.NilError(t, err)
			assert.Equal(t, p.Endpoint.ID, "e1")
		}
		p, err := f.Pick(Request{Service: "s", LastAttempt: true})
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint.ID, "e0", "better than none")
	})
}

func TestBreaksAreHeldAgainstTheRequestOnlyWhereNoneCameBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("near")
		assert.Assert(t, !pick(t, f, false).Suspect)
		f.ApplyChanges("a", []Load{{Endpoint: "e0", Faults: 1}})
		assert.Assert(t, pick(t, f, false).Suspect)
		time.Sleep(suspectFor)
		assert.Assert(t, !pick(t, f, false).Suspect, "it may be back, and crashed by another request")
	})
}

func TestChangesTellEachFaultOnce(t *testing.T) {
	f := newFleet("near")
	p := pick(t, f, false)
	p.Fail(wharfoutcome.ConnectionLost)
	p.Release()
	quiet := pick(t, f, false)
	quiet.Fail(wharfoutcome.TimedOut)
	quiet.Release()
	changes := f.Changes()
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, changes[0].Load, Load{Endpoint: "e0", Faults: 1})
	pick(t, f, false).Succeed()
	assert.DeepEqual(t, f.Loads(), []Load{{Endpoint: "e0", Online: 1}})
	assert.DeepEqual(t, f.Changes()[0].Load, Load{Endpoint: "e0", Online: 1, Served: 1})
	assert.DeepEqual(t, f.Changes(), []Change{})
}

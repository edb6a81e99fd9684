package wharflimiter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
)

// reportPeriod is the time between two reports of a host to its allocator, and sharePeriod how long a report holds.
const (
	reportPeriod = 500 * time.Millisecond
	sharePeriod  = time.Second
)

// allocators returns the first host of a zone that host i can reach and knows to be up. A small fleet has none.
func (f *fleet) allocators(i, zone int) []wharfgossip.AllocatorHost {
	if f.zones == 1 {
		return nil
	}
	for j := zone; j < len(f.limiters); j += f.zones {
		if !f.down[j] && f.partition[j] == f.partition[i] {
			return []wharfgossip.AllocatorHost{{Host: f.names[j], Self: j == i}}
		}
	}
	return nil
}

func (f *fleet) index(host string) int {
	for j, name := range f.names {
		if name == host {
			return j
		}
	}
	return -1
}

func (f *fleet) admitAt(
	ctx context.Context, from int, to wharfgossip.AllocatorHost, a Admission,
) (Decision, error) {
	f.calls.Add(1)
	if from == f.unanswered {
		if !f.suspended(from) {
			time.Sleep(pullTimeout)
			f.suspendedUntil = time.Now().Add(time.Second)
		}
		return Decision{}, errPartitioned
	}
	return f.limiters[f.index(to.Host)].AdmitHere(ctx, a), nil
}

// suspended reports whether host i does not call the allocators of its zone.
func (f *fleet) suspended(i int) bool {
	return i == f.unanswered && time.Now().Before(f.suspendedUntil)
}

func (f *fleet) remoteAllocators(i int) []wharfgossip.Peer {
	var peers []wharfgossip.Peer
	for zone := range f.zones {
		if zone == i%f.zones {
			continue
		}
		for _, a := range f.allocators(i, zone) {
			peers = append(peers, wharfgossip.Peer{Host: a.Host, Incarnation: uint64(f.index(a.Host))})
		}
	}
	return peers
}

// shares returns the number of shares that host i may use. Hosts report every reportPeriod who admits their requests.
func (f *fleet) shares(i int) Shares {
	if f.zones == 1 {
		return Shares{Used: 1}
	}
	allocators := f.allocators(i, i%f.zones)
	if f.suspended(i) {
		return Shares{Used: 1}
	}
	if time.Since(f.reportedAt[i]) >= reportPeriod {
		f.admittedBy[i], f.reportedAt[i] = f.index(allocators[0].Host), time.Now()
	}
	if !allocators[0].Self {
		shares := Shares{}
		if f.index(allocators[0].Host)+f.zones == i {
			shares.Reserved = len(f.limiters) / f.zones
		}
		return shares
	}
	shares := 1
	for j, by := range f.admittedBy {
		if by == i && j != i && time.Since(f.reportedAt[j]) < sharePeriod {
			shares++
		}
	}
	return Shares{Used: shares}
}

// TestSmallOrganisationIsHeldToItsRateByManyHosts guards against shares that hold more together than the burst: 195
// hosts with a token each for an organisation that may send eight at once.
func TestSmallOrganisationIsHeldToItsRateByManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(195, 6, 4, 8)
		f.generateLoad(0.001, time.Minute)
		f.generateLoad(30, 10*time.Second)
		f.assertWithinLimit(t)
		assert.Assert(t, len(f.admitted) >= 4*10*9/10, "%d of 40", len(f.admitted))
	})
}

// TestOrganisationsGetTheirRateFromManyHosts plays organisations that send within their rate, a few requests a second
// over hundreds of hosts, in small and large fleets. It logs what admitting costs.
func TestOrganisationsGetTheirRateFromManyHosts(t *testing.T) {
	for _, hosts := range []int{66, 195, 570} {
		for _, rate := range []float64{2, 40} {
			t.Run(fmt.Sprintf("%d hosts %.0f a second", hosts, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetOf(hosts, 6, rate, 2*rate)
					f.generateLoad(rate/1.6, 4*time.Minute)
					f.assertWithinLimit(t)
					total := f.rejected + len(f.admitted)
					t.Logf("%d of %d rejected, one bucket for all would reject %d; %.2f calls for each request",
						f.rejected, total, f.exactlyRejected, float64(f.calls.Load())/float64(total))
					assert.Assert(t, f.rejected <= f.exactlyRejected+total/50, "%d of %d requests within the rate were rejected",
						f.rejected, total)
				})
			})
		}
	}
}

// TestHostWhoseAllocatorsDoNotAnswerServesWithinTheRate guards against rejecting what is within the rate as over it, while
// the allocators of other zones have tokens.
func TestHostWhoseAllocatorsDoNotAnswerServesWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(60, 6, 30, 60)
		f.unanswered = 20
		for range 100 {
			f.generateLoad(20, 100*time.Millisecond)
			f.send(f.unanswered)
		}
		assert.Assert(t, f.rejected <= 2, "%d of 300 requests within the rate were rejected", f.rejected)
		f.generateLoad(300, 10*time.Second)
		f.assertWithinLimit(t)
		d := Decision{Admitted: true}
		for d.Admitted {
			d = f.limiters[f.unanswered].Admit(t.Context(), Admission{Organisation: "org"})
		}
		assert.Assert(t, d.Undecided, "it does not know that the organisation is over its rate")
	})
}

// TestLostAllocatorsDoNotRaiseTheRate kills the allocators of half of the zones again and again, and starts them again,
// while an organisation sends many times its rate.
func TestLostAllocatorsDoNotRaiseTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(60, 6, 30, 60)
		for range 6 {
			f.generateLoad(300, time.Second)
			for zone := range 3 {
				f.down[f.index(f.allocators(zone, zone)[0].Host)] = true
			}
			f.generateLoad(300, 2*time.Second)
			for i := range f.limiters {
				if f.down[i] {
					f.startHost(i, false)
				}
			}
		}
		f.assertWithinLimit(t)
		assert.Assert(t, len(f.admitted) > 30*18*7/10, "%d of 540", len(f.admitted))
	})
}

// TestZonesThatAreCutOffKeepTheirPartOfTheRate cuts a zone from the others.
func TestZonesThatAreCutOffKeepTheirPartOfTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(60, 6, 60, 60)
		for i := range f.limiters {
			if i%6 == 0 {
				f.partition[i] = 1
			}
		}
		before := time.Now()
		for time.Since(before) < 10*time.Second {
			f.generateLoad(60, 100*time.Millisecond)
		}
		f.assertWithinLimit(t)
		for i := range f.limiters {
			f.partition[i] = 0
		}
		f.generateLoad(300, 10*time.Second)
		f.assertWithinLimit(t)
	})
}

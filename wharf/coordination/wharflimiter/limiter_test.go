package wharflimiter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfshare"
)

var errPartitioned = errors.New("host is partitioned")

// fleet is a set of limiters that exchange their levels ten times per second.
type fleet struct {
	limiters  []*Limiter
	names     []string
	partition []int // hosts of different partitions can't reach each other
	down      []bool
	storeDown bool // hosts that start are not told how many there are
	levels    []wharfgossip.Levels
	limits    []wharfroute.Organisation
	admitted  []time.Time
	rejected  int
	exact     *wharfshare.Share // one bucket for all hosts
	// exactlyRejected counts the requests that one bucket for all hosts would have rejected.
	exactlyRejected int
	random          *rand.Rand
	// In a fleet of more than one zone, the first host of each zone that is not down admits requests for its zone.
	zones      int
	admittedBy []int // by host, as last reported
	reportedAt []time.Time
	calls      atomic.Int64 // between hosts
	// unanswered is the host whose calls to the allocators of its zone are not answered, or -1.
	unanswered     int
	suspendedUntil time.Time // until when that host does not call them
}

func newFleet(hosts int, rate, burst float64) *fleet {
	return newFleetOf(hosts, 1, rate, burst)
}

func newFleetOf(hosts, zones int, rate, burst float64) *fleet {
	f := &fleet{zones: zones, unanswered: -1, random: rand.New(rand.NewPCG(1, 1)), limits: []wharfroute.Organisation{{Name: "org", Rate: rate, Burst: burst}}}
	f.limiters = make([]*Limiter, hosts)
	f.partition = make([]int, hosts)
	f.down = make([]bool, hosts)
	f.levels = make([]wharfgossip.Levels, hosts)
	f.admittedBy, f.reportedAt = make([]int, hosts), make([]time.Time, hosts)
	for i := range hosts {
		f.names = append(f.names, fmt.Sprintf("h%03d", i))
		f.startHost(i, true)
	}
	f.generateLoad(0.001, 5*time.Second) // fill the buckets before any traffic
	f.admitted, f.rejected, f.exactlyRejected = nil, 0, 0
	f.calls.Store(0)
	f.exact = wharfshare.New(burst, time.Now())
	f.exact.Resize(rate, burst, time.Now())
	return f
}

func (f *fleet) startHost(i int, fresh bool) {
	f.down[i] = false
	f.limiters[i] = New(Options{
		Fresh: fresh,
		Peers: func() []wharfgossip.Peer { return f.peers(i) },
		Pull: func(_ context.Context, peer wharfgossip.Peer, organisation string, wanted float64) (float64, error) {
			f.calls.Add(1)
			j := int(peer.Incarnation)
			if f.down[j] || f.partition[i] != f.partition[j] {
				time.Sleep(pullTimeout)
				return 0, errPartitioned
			}
			return f.limiters[j].Give(organisation, wanted), nil
		},
		Allocators: func() []wharfgossip.AllocatorHost { return f.allocators(i, i%f.zones) },
		AdmitAt: func(ctx context.Context, to wharfgossip.AllocatorHost, a Admission) (Decision, error) {
			return f.admitAt(ctx, i, to, a)
		},
		Shares:           func() Shares { return f.shares(i) },
		RemoteAllocators: func() []wharfgossip.Peer { return f.remoteAllocators(i) },
	})
	f.limiters[i].Configure(f.limits)
	if !f.storeDown {
		f.limiters[i].SetHostCount(len(f.limiters))
	}
}

func TestUnknownHostCountLimitsRefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Options{Peers: func() []wharfgossip.Peer { return nil }, Allocators: noAllocators})
		l.Configure([]wharfroute.Organisation{{Name: "org", Rate: 60, Burst: 60}})
		time.Sleep(time.Second)
		admitted := 0
		for l.Admit(context.Background(), Admission{Organisation: "org"}).Admitted {
			admitted++
		}
		assert.Assert(t, admitted <= 5, "%d", admitted)
	})
}

func (f *fleet) peers(self int) []wharfgossip.Peer {
	var peers []wharfgossip.Peer
	for j, name := range f.names {
		if j == self {
			continue
		}
		p := wharfgossip.Peer{Host: name, Incarnation: uint64(j), Presence: wharfgossip.Alive}
		p.Levels = f.levels[j]
		if f.down[j] || f.partition[j] != f.partition[self] {
			p.Presence = wharfgossip.Quiet
		}
		peers = append(peers, p)
	}
	return peers
}

// generateLoad sends requests to random hosts at an average rate for some time.
func (f *fleet) generateLoad(perSecond float64, length time.Duration) {
	end := time.Now().Add(length)
	lastExchange := time.Time{}
	next := f.nextArrival(perSecond)
	for time.Now().Before(end) {
		if time.Since(lastExchange) >= exchangePeriod {
			lastExchange = time.Now()
			f.exchange()
		}
		time.Sleep(min(exchangePeriod, time.Until(next)))
		if time.Now().Before(next) {
			continue
		}
		next = f.nextArrival(perSecond)
		f.send(f.random.IntN(len(f.limiters)))
	}
}

// noAllocators is Options.Allocators of a small fleet.
func noAllocators() []wharfgossip.AllocatorHost { return nil }

const exchangePeriod = 100 * time.Millisecond

func (f *fleet) nextArrival(perSecond float64) time.Time {
	return time.Now().Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
}

// send sends a request to a host.
func (f *fleet) send(i int) {
	if f.down[i] {
		return
	}
	if f.exact != nil && !f.exact.Take(time.Now()) {
		f.exactlyRejected++
	}
	if f.limiters[i].Admit(context.Background(), Admission{Organisation: "org"}).Admitted {
		f.admitted = append(f.admitted, time.Now())
		return
	}
	f.rejected++
}

// exchange has all hosts that are up tell their state, which has no levels in a large fleet.
func (f *fleet) exchange() {
	for i, l := range f.limiters {
		if f.down[i] {
			continue
		}
		if f.zones == 1 {
			f.levels[i] = l.Levels()
		}
		l.updateShares()
	}
}

// maxAdmittedWithin returns the maximum number of requests admitted within any window of a length.
func (f *fleet) maxAdmittedWithin(window time.Duration) int {
	maxCount, first := 0, 0
	for i, at := range f.admitted {
		for at.Sub(f.admitted[first]) > window {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

const window = 5 * time.Second

func (f *fleet) assertWithinLimit(t *testing.T) {
	t.Helper()
	limit := f.limits[0]
	allowed := int((limit.Rate*window.Seconds()+limit.Burst)*1.1) + 20
	assert.Assert(t, f.maxAdmittedWithin(window) <= allowed,
		"%d requests admitted in a window, %d allowed", f.maxAdmittedWithin(window), allowed)
}

func TestOverloadedOrganisationGetsItsFullRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10, 60, 60)
		f.generateLoad(500, 20*time.Second)
		f.assertWithinLimit(t)
		assert.Assert(t, len(f.admitted) > 60*20*9/10, "%d of 1200", len(f.admitted))
	})
}

// TestSmallRateOverManyHosts guards against rejecting requests within a small rate: 8/s over 13 hosts leaves each host
// only fractions of a token.
func TestSmallRateOverManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(13, 8, 8)
		f.generateLoad(5, time.Minute)
		f.assertWithinLimit(t)
		total := f.rejected + len(f.admitted)
		assert.Assert(t, f.rejected*50 < total, "%d of %d requests within the rate were rejected", f.rejected, total)
	})
}

func TestPartitionedHostsStayWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10, 60, 60)
		f.generateLoad(300, 5*time.Second)
		for i := range 4 {
			f.partition[i] = 1
		}
		f.generateLoad(300, 10*time.Second)
		for i := range 4 {
			f.partition[i] = 0
		}
		f.generateLoad(300, 5*time.Second)
		f.assertWithinLimit(t)
		assert.Assert(t, len(f.admitted) > 60*20*8/10, "%d of 1200", len(f.admitted))
	})
}

func TestRestartOfAllHostsStaysWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10, 60, 60)
		f.generateLoad(300, 3*time.Second)
		for i := range f.limiters {
			f.startHost(i, false)
		}
		f.generateLoad(300, 3*time.Second)
		f.assertWithinLimit(t)
		before := len(f.admitted)
		f.generateLoad(30, 2*time.Second)
		assert.Assert(t, len(f.admitted) > before+30, "requests are admitted again soon after the restart")
	})
}

// TestHostsRestartedWhileTheStoreIsDownStayWithinLimit guards against shares of a fleet smaller than the one that hosts hear
// of.
func TestHostsRestartedWhileTheStoreIsDownStayWithinLimit(t *testing.T) {
	for hosts, zones := range map[int]int{40: 1, 41: 2, 195: 6} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOf(hosts, zones, 20, 20)
				f.storeDown = true
				for i := range hosts * 6 / 10 {
					f.down[i] = true
				}
				f.generateLoad(300, 3*time.Second)
				for i := range hosts * 6 / 10 {
					f.startHost(i, false)
				}
				f.generateLoad(300, 10*time.Second)
				f.assertWithinLimit(t)
			})
		})
	}
}

func TestRepeatedCrashesStayWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10, 60, 60)
		for range 5 {
			for i := range 5 {
				f.down[i] = true
			}
			f.generateLoad(300, time.Second)
			for i := range 5 {
				f.startHost(i, false)
			}
			f.generateLoad(300, 2*time.Second)
		}
		f.assertWithinLimit(t)
	})
}

func TestLoweredLimitAppliesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10, 60, 60)
		f.generateLoad(300, 5*time.Second)
		f.limits[0] = wharfroute.Organisation{Name: "org", Rate: 6, Burst: 6}
		for _, l := range f.limiters {
			l.Configure(f.limits)
		}
		f.admitted = nil
		f.generateLoad(300, 10*time.Second)
		f.assertWithinLimit(t)
	})
}

func TestOrganisationsWithoutLimitAreAdmitted(t *testing.T) {
	l := New(Options{Peers: func() []wharfgossip.Peer { return nil }, Allocators: noAllocators})
	l.Configure([]wharfroute.Organisation{{Name: "free"}})
	for range 1000 {
		assert.Assert(t, l.Admit(context.Background(), Admission{Organisation: "free"}).Admitted)
	}
}

func TestStreamsTakenUpOverdrawSharesAndNewRequestsPay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, rate, burst = 10, 40.0, 40.0
		f := newFleet(hosts, rate, burst)
		admit := func(i int, continues bool) bool {
			return f.limiters[i%hosts].Admit(t.Context(), Admission{Organisation: "org", Continues: continues}).Admitted
		}
		for i := range 200 {
			admit(i, false)
		}
		taken := 0
		for i := range 100 {
			if admit(i, true) {
				taken++
			}
		}
		assert.Assert(t, taken >= hosts && taken <= 2*hosts, "%d admitted", taken)
		admitted, window := 0, 5*time.Second
		for start := time.Now(); time.Since(start) < window; time.Sleep(10 * time.Millisecond) {
			if admit(f.random.IntN(hosts), false) {
				admitted++
			}
		}
		assert.Assert(t, float64(taken+admitted) <= rate*window.Seconds()+hosts, "%d and %d admitted", taken, admitted)
	})
}

package wharflimiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfroute"
)

// fault is a fault of a model. It lasts for a while, in which the load goes on.
type fault struct {
	name  string
	begin func(m *model)
	end   func(m *model)
}

// modelFaults are the faults under which no window may hold more than the limit.
var modelFaults = []fault{
	{"none", func(*model) {}, func(*model) {}},
	{"each zone cut in two", func(m *model) {
		m.set(m.some(func(i int) bool { return i/m.zones%2 == 1 }), condition{partition: 1})
	}, func(m *model) { m.set(m.hosts, condition{}) }},
	{"a zone cut off", func(m *model) {
		m.set(m.some(func(i int) bool { return i%max(3, m.zones) == 0 }), condition{partition: 1})
	}, func(m *model) { m.set(m.hosts, condition{}) }},
	{"first allocators frozen", func(m *model) {
		m.set(m.hosts[:m.zones], condition{frozen: true})
	}, func(m *model) { m.set(m.hosts, condition{}) }},
	{"half of the hosts frozen", func(m *model) {
		m.set(m.some(func(i int) bool { return i/m.zones%2 == 0 }), condition{frozen: true})
	}, func(m *model) { m.set(m.hosts, condition{}) }},
	{"all hosts frozen", func(m *model) {
		m.set(m.hosts, condition{frozen: true})
	}, func(m *model) { m.set(m.hosts, condition{}) }},
	{"first allocators killed", func(m *model) { m.kill(m.hosts[:m.zones]) }, func(m *model) { m.restart() }},
	{"all hosts killed", func(m *model) { m.kill(m.hosts) }, func(m *model) { m.restart() }},
	{"all hosts killed and started at once", func(m *model) { m.kill(m.hosts); m.restart() }, func(*model) {}},
	{"reports lost", func(m *model) { m.setLoss(0.7, 0) }, func(m *model) { m.setLoss(0, 0) }},
	{"no reports", func(m *model) { m.setLoss(1, 0) }, func(m *model) { m.setLoss(0, 0) }},
	{"reports late", func(m *model) { m.delayReports(1500 * time.Millisecond) }, func(m *model) { m.delayReports(0) }},
	{"calls lost", func(m *model) { m.setLoss(0.1, 0.3) }, func(m *model) { m.setLoss(0, 0) }},
}

// some returns the hosts whose index is selected.
func (m *model) some(selected func(i int) bool) []*modelHost {
	var hosts []*modelHost
	for i, h := range m.hosts {
		if selected(i) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// restart starts the hosts that are down.
func (m *model) restart() {
	for _, h := range m.hosts {
		m.mu.Lock()
		down := h.now.down
		m.mu.Unlock()
		if down {
			m.start(h, false)
		}
	}
}

func (m *model) delayReports(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportDelay = delay
}

func (m *model) setLoss(reports, calls float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportLoss, m.callLoss = reports, calls
}

// TestNoFaultAdmitsMoreThanTheLimit plays an organisation that sends many times its rate from one moment on, when its
// bursts are unused, while hosts are cut off, frozen, killed and started again and while messages are lost, twice.
func TestNoFaultAdmitsMoreThanTheLimit(t *testing.T) {
	limits := []wharfroute.Organisation{{Rate: 60, Burst: 30}, {Rate: 232, Burst: 232}, {Rate: 2, Burst: 4}}
	for _, hosts := range []int{10, 61, 570} {
		if hosts == 570 {
			limits = limits[:1] // each takes a second and more; the restart of all hosts is the hardest with a small burst
		}
		for _, limit := range limits {
			for _, f := range modelFaults {
				t.Run(fmt.Sprintf("%d hosts, %.0f a second, %s", hosts, limit.Rate, f.name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playFault(t, hosts, limit, f) })
				})
			}
		}
	}
}

func playFault(t *testing.T, hosts int, limit wharfroute.Organisation, f fault) {
	limit.Name = "org"
	m := newModel(t, hosts, limit, 3000, 0.3)
	defer m.close()
	load := 4 * limit.Rate
	m.load(limit.Rate/2, 2*time.Second)
	m.load(load, 500*time.Millisecond)
	f.begin(m)
	m.load(load, 2500*time.Millisecond)
	f.end(m)
	m.load(load, 3*time.Second)
	m.load(limit.Rate/5, 3*time.Second) // the buckets fill again
	f.begin(m)
	m.load(load, time.Second)
	f.end(m)
	m.load(load, 3*time.Second)
	m.logMargin(t)
	m.assertWithinLimit(t)
}

// logMargin logs the most requests admitted in a window of five seconds, and how many are allowed.
func (m *model) logMargin(t *testing.T) {
	m.mu.Lock()
	f := fleet{admitted: m.admittedAt}
	m.mu.Unlock()
	exact := m.limit.Rate*window.Seconds() + m.limit.Burst
	t.Logf("at most %d admitted in a window, %.0f by rate and burst, %.0f allowed", f.maxAdmittedWithin(window), exact, exact*1.1+20)
	assert.Assert(t, len(f.admitted) > 0)
}

// TestNoSeriesOfFaultsAdmitsMoreThanTheLimit plays faults drawn from seeds, one after the other and at the same time.
func TestNoSeriesOfFaultsAdmitsMoreThanTheLimit(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playSeries(t, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

func playSeries(t *testing.T, random *rand.Rand) {
	hosts := []int{10, 61}[random.IntN(2)]
	limit := wharfroute.Organisation{Name: "org", Rate: 20 + 300*random.Float64()}
	limit.Burst = limit.Rate * (0.2 + 2*random.Float64())
	m := newModel(t, hosts, limit, 1000, random.Float64())
	defer m.close()
	pause := func() time.Duration { return time.Duration(random.IntN(2000)) * time.Millisecond }
	for range 6 {
		m.load(limit.Rate*(0.1+random.Float64()), pause())
		a, b := modelFaults[random.IntN(len(modelFaults))], modelFaults[random.IntN(len(modelFaults))]
		t.Logf("%s; %s", a.name, b.name)
		load := limit.Rate * (1 + 6*random.Float64())
		a.begin(m)
		m.load(load, pause())
		b.begin(m)
		m.load(load, pause())
		a.end(m)
		m.load(load, pause())
		b.end(m)
		m.restart()
		m.load(load, pause())
	}
	m.logMargin(t)
	m.assertWithinLimit(t)
}

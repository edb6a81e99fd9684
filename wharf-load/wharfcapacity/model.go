package wharfcapacity

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailwharf.example/wharf/state/wharffleet"
)

// Options are a load and a fleet. The defaults are the users' grown deployment of four zones, scaled down to 24 hosts and
// 40 endpoints; its figures are those of one day on the bench.
type Options struct {
	Seed          uint64
	Zones         int
	Hosts         int // of each zone
	Endpoints     int // of each zone
	Slots         int
	Duration      time.Duration
	Rate          float64       // online requests a second, on average over calm and bursts
	ZoneShares    []float64     // of the rate, by zone
	CalmFactor    float64       // of the average, between bursts
	BurstFactor   float64       // of the average, in bursts
	BurstPeriod   time.Duration // from burst to burst
	BurstDuration time.Duration // of each period
	Work          time.Duration // of an online request that runs alone
	Prefill       time.Duration // of it, before the first event
	Slowdown      float64       // of each request by each other one that runs
	BatchRate     float64       // batch items that come in a second
	BatchWork     time.Duration
	Objective     time.Duration // for the first event
	GossipDelays  GossipDelays
}

// GossipDelays say how late hosts know what others have placed.
type GossipDelays struct {
	SameZone     time.Duration // changes reach the own zone
	OtherZones   time.Duration // changes reach other zones; 0 if they are told with the whole state only
	FullInterval time.Duration // from one whole state to the next
}

// Default returns the load of a day with bursts up to the fleet's capacity.
func Default() Options {
	return Options{
		Zones: 4, Hosts: 6, Endpoints: 10, Slots: 8, Duration: 24 * time.Second,
		Rate: 183, ZoneShares: []float64{0.22, 0.3, 0.27, 0.21}, CalmFactor: 0.383, BurstFactor: 1.87,
		BurstPeriod: 5800 * time.Millisecond, BurstDuration: 2400 * time.Millisecond,
		Work: 580 * time.Millisecond, Prefill: 25 * time.Millisecond, Slowdown: 0.1,
		BatchRate: 20, BatchWork: 2500 * time.Millisecond, Objective: 300 * time.Millisecond,
		GossipDelays: GossipDelays{SameZone: 5 * time.Millisecond, OtherZones: 10 * time.Millisecond, FullInterval: 2300 * time.Millisecond},
	}
}

// Result is what callers got.
type Result struct {
	Online          int
	Late            int // first events after the objective
	Refused         int
	WorstSecond     float64 // part that was late or refused, in the worst second
	BatchCompleted  int     // that were done
	BatchPreempted  int     // items stopped for online requests
	FirstEventTimes []time.Duration
}

// LateShare returns the part of the online requests that were late.
func (r *Result) LateShare() float64 {
	return float64(r.Late) / float64(max(1, r.Online))
}

// Percentile returns the time to the first event that a part of the requests kept to.
func (r *Result) Percentile(part float64) time.Duration {
	if len(r.FirstEventTimes) == 0 {
		return 0
	}
	slices.Sort(r.FirstEventTimes)
	return r.FirstEventTimes[min(len(r.FirstEventTimes)-1, int(part*float64(len(r.FirstEventTimes))))]
}

// String returns the result as a line.
func (r *Result) String() string {
	return fmt.Sprintf("%d online, %.3f late, %.3f refused, worst second %.2f, first event p50 %v p95 %v, %d items done, %d cut",
		r.Online, r.LateShare(), float64(r.Refused)/float64(max(1, r.Online)), r.WorstSecond,
		r.Percentile(0.5).Round(time.Millisecond), r.Percentile(0.95).Round(time.Millisecond), r.BatchCompleted, r.BatchPreempted)
}

// model is one play.
type model struct {
	Options
	clock   clock
	random  *rand.Rand
	hosts   []*host
	engines map[string]*engine
	result  Result
	seconds map[int][2]int // requests and those not on time, by second
}

// Run plays the load, in the time that Options.Length says; the placement itself is the daemons' own code.
func Run(options Options) *Result {
	m := &model{Options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), engines: map[string]*engine{}, seconds: map[int][2]int{}}
	list := m.endpoints()
	for zone := range m.Zones {
		for i := range m.Hosts {
			m.addHost(zone, i, list)
		}
	}
	for zone := range m.Zones {
		m.arrive(zone)
	}
	m.hand()
	m.clock.run(m.Duration)
	for _, counts := range m.seconds {
		m.result.WorstSecond = max(m.result.WorstSecond, float64(counts[1])/float64(max(1, counts[0])))
	}
	return &m.result
}

func (m *model) endpoints() []wharffleet.Endpoint {
	var list []wharffleet.Endpoint
	for zone := range m.Zones {
		for i := range m.Endpoints {
			id := fmt.Sprintf("e%d-%d", zone, i)
			list = append(list, wharffleet.Endpoint{ID: id, Service: service, Zone: zoneName(zone), Slots: m.Slots})
			m.engines[id] = newEngine(&m.clock, m.Slots, m.Slowdown)
		}
	}
	return list
}

const service = "model"

func zoneName(zone int) string { return fmt.Sprint("zone-", zone) }

// rate returns a zone's online requests a second at present.
func (m *model) rate(zone int) float64 {
	factor := m.CalmFactor
	if m.clock.now%m.BurstPeriod >= m.BurstPeriod-m.BurstDuration {
		factor = m.BurstFactor
	}
	return m.Rate * m.ZoneShares[zone] * factor
}

// arrive sends requests of a zone's callers to its hosts, at times that nothing but the rate connects.
func (m *model) arrive(zone int) {
	wait := m.random.ExpFloat64() / m.rate(zone)
	m.clock.after(time.Duration(wait*float64(time.Second)), func() {
		m.hosts[zone*m.Hosts+m.random.IntN(m.Hosts)].online()
		m.arrive(zone)
	})
}

// hand gives hosts batch items.
func (m *model) hand() {
	m.clock.after(time.Duration(m.random.ExpFloat64()/m.BatchRate*float64(time.Second)), func() {
		h := m.hosts[m.random.IntN(len(m.hosts))]
		h.backlog = append(h.backlog, m.vary(m.BatchWork))
		m.hand()
	})
}

// vary returns seconds of work around a mean, between half of it and half as much again.
func (m *model) vary(mean time.Duration) float64 {
	return mean.Seconds() * (0.5 + m.random.Float64())
}

// count records what became of an online request that came at a time.
func (m *model) count(came time.Duration, served bool) {
	second := int(came / time.Second)
	counts := m.seconds[second]
	counts[0]++
	m.result.Online++
	waited := m.clock.now - came
	switch {
	case !served:
		m.result.Refused++
		counts[1]++
	case waited > m.Objective:
		m.result.Late++
		counts[1]++
	}
	if served {
		m.result.FirstEventTimes = append(m.result.FirstEventTimes, waited)
	}
	m.seconds[second] = counts
}

// Compare plays the load with two views for some seeds, and returns the results in the order of the seeds.
func Compare(options Options, other GossipDelays, seeds int) (present, compared []*Result) {
	for seed := range seeds {
		options.Seed = uint64(seed + 1)
		present = append(present, Run(options))
		changed := options
		changed.GossipDelays = other
		compared = append(compared, Run(changed))
	}
	return present, compared
}

// Median returns the result whose share of late requests is the middle one.
func Median(results []*Result) *Result {
	sorted := slices.SortedFunc(slices.Values(results), func(a, b *Result) int { return cmp.Compare(a.LateShare(), b.LateShare()) })
	return sorted[len(sorted)/2]
}

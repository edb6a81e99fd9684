package wharfcapacity

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailwharf.example/wharf/state/wharffleet"
)

// Options describes a load and a fleet. The defaults are a deployment of the users with four zones, scaled down to
// 24 hosts and 40 endpoints; its figures come from one day of a load test.
type Options struct {
	Seed          uint64
	Zones         int
	Hosts         int // per zone
	Endpoints     int // per zone
	Slots         int
	Duration      time.Duration
	Rate          float64       // mean online requests per second, over calm periods and bursts
	ZoneShares    []float64     // of Rate, by zone
	CalmFactor    float64       // multiplies Rate between bursts
	BurstFactor   float64       // multiplies Rate during bursts
	BurstPeriod   time.Duration // from one burst to the next
	BurstDuration time.Duration // at the end of each period
	Work          time.Duration // of an online request running alone, on average
	Prefill       time.Duration // part of Work before the first event
	Slowdown      float64       // of each request, per other running request
	BatchRate     float64       // batch items per second
	BatchWork     time.Duration
	Objective     time.Duration // for the time to the first event
	GossipDelays  GossipDelays
	Speeds        []float64     // of the endpoints in turn, 1 for the usual; all 1 if empty
	PauseShare    float64       // share of the endpoints that pause now and then
	PauseInterval time.Duration // mean time between two pauses of such an endpoint
	PauseDuration time.Duration // of a pause, on average
	EventWork     time.Duration // between two events
	ByCost        bool          // hosts weigh endpoints by their learned paces
	// Allocators says that hosts ask an allocator of their zone for each slot, instead of sending each change to all hosts.
	Allocators bool
	// AllocatorsLostAt is when other hosts take the allocators' place, knowing no loads and no paces; 0 for never.
	AllocatorsLostAt time.Duration
	// SpeedsChangeAt is when each endpoint takes the speed of the one after it; 0 for never.
	SpeedsChangeAt time.Duration
}

// GossipDelays holds the delays after which hosts learn what others have placed.
type GossipDelays struct {
	SameZone     time.Duration // until changes reach hosts of the same zone
	OtherZones   time.Duration // until changes reach other zones; 0 if only full states do
	FullInterval time.Duration // interval between full states
}

// Default returns a load with bursts up to the fleet's capacity.
func Default() Options {
	return Options{
		Zones: 4, Hosts: 6, Endpoints: 10, Slots: 8, Duration: 24 * time.Second,
		Rate: 183, ZoneShares: []float64{0.22, 0.3, 0.27, 0.21}, CalmFactor: 0.383, BurstFactor: 1.87,
		BurstPeriod: 5800 * time.Millisecond, BurstDuration: 2400 * time.Millisecond,
		Work: 580 * time.Millisecond, Prefill: 25 * time.Millisecond, Slowdown: 0.1,
		BatchRate: 20, BatchWork: 2500 * time.Millisecond, Objective: 300 * time.Millisecond,
		EventWork: 3270 * time.Microsecond,
		GossipDelays: GossipDelays{
			SameZone: 5 * time.Millisecond, OtherZones: 10 * time.Millisecond, FullInterval: 2300 * time.Millisecond,
		},
	}
}

// LargeFleet returns the load of a deployment of the users with six zones of 33 hosts and 13 endpoints.
func LargeFleet() Options {
	o := Default()
	o.Zones, o.Hosts, o.Endpoints = 6, 33, 13
	o.Rate, o.ZoneShares = 357, []float64{0.159, 0.136, 0.19, 0.183, 0.182, 0.15}
	o.BatchRate, o.BatchWork = 45, 2*time.Second
	o.Duration = 12 * time.Second
	o.GossipDelays = GossipDelays{
		SameZone: 18500 * time.Microsecond, OtherZones: 38 * time.Millisecond, FullInterval: 2 * time.Second,
	}
	return o
}

// WithAllocators returns the load with slots that allocators grant.
func (o Options) WithAllocators() Options {
	o.Allocators = true
	o.GossipDelays = GossipDelays{SameZone: 2 * time.Millisecond, FullInterval: 500 * time.Millisecond}
	return o
}

// Result summarizes a simulation.
type Result struct {
	Online          int
	Late            int // requests whose first event came after the objective
	Refused         int
	WorstSecond     float64 // share of requests late or refused, in the worst second
	BatchCompleted  int     // batch items completed
	BatchPreempted  int     // batch items stopped for online requests
	Messages        int     // between hosts, about loads and slots
	FirstEventTimes []time.Duration
	AnswerTimes     []time.Duration // from the arrival to the end of the answer
	LongestGap      time.Duration   // between two events of an answer
	Weighed         int             // choices of an endpoint whose factor was not 1
}

// LateShare returns the share of online requests that were late.
func (r *Result) LateShare() float64 {
	return float64(r.Late) / float64(max(1, r.Online))
}

// MissedShare returns the share of online requests that were late or refused.
func (r *Result) MissedShare() float64 {
	return float64(r.Late+r.Refused) / float64(max(1, r.Online))
}

// Quantile returns a quantile, between 0 and 1, of the time to the first event; 0 if no request was served.
func (r *Result) Quantile(quantile float64) time.Duration {
	return quantileOf(r.FirstEventTimes, quantile)
}

// AnswerQuantile returns a quantile, between 0 and 1, of the time to the end of the answer; 0 if none has ended.
func (r *Result) AnswerQuantile(quantile float64) time.Duration {
	return quantileOf(r.AnswerTimes, quantile)
}

// MeanAnswerTime returns the mean time to the end of the answer; 0 if none has ended.
func (r *Result) MeanAnswerTime() time.Duration {
	var sum time.Duration
	for _, d := range r.AnswerTimes {
		sum += d
	}
	return sum / time.Duration(max(1, len(r.AnswerTimes)))
}

func quantileOf(times []time.Duration, quantile float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(quantile*float64(len(times))))]
}

// String describes the result on one line.
func (r *Result) String() string {
	return fmt.Sprintf(
		"%d online, %.3f late, %.3f refused, worst second %.2f, first event p50 %v p95 %v, answer mean %v p95 %v, "+
			"longest gap %v, %d items done, %d preempted, %.1f messages for each request, %d weights changed",
		r.Online, r.LateShare(), float64(r.Refused)/float64(max(1, r.Online)), r.WorstSecond,
		r.Quantile(0.5).Round(time.Millisecond), r.Quantile(0.95).Round(time.Millisecond),
		r.MeanAnswerTime().Round(time.Millisecond), r.AnswerQuantile(0.95).Round(time.Millisecond),
		r.LongestGap.Round(time.Millisecond), r.BatchCompleted, r.BatchPreempted,
		float64(r.Messages)/float64(max(1, r.Online)), r.Weighed)
}

// simulation holds the state of one run.
type simulation struct {
	Options
	clock     clock
	rng       *rand.Rand
	pauses    *rand.Rand // of the engines' pauses, which are the same for all variants of a load
	hosts     []*host
	engines   map[string]*engine
	result    Result
	perSecond map[int][2]int // requests, and those late or refused, by second of arrival
}

// Run simulates the load for Options.Duration. Requests are placed by the same code as in the daemons.
func Run(options Options) *Result {
	s := &simulation{
		Options: options, rng: rand.New(rand.NewPCG(options.Seed, 1)),
		pauses:  rand.New(rand.NewPCG(options.Seed, 2)),
		engines: map[string]*engine{}, perSecond: map[int][2]int{},
	}
	endpoints := s.endpoints()
	for zone := range s.Zones {
		for i := range s.Hosts {
			s.addHost(zone, i, endpoints)
		}
	}
	for zone := range s.Zones {
		s.generateRequests(zone)
	}
	s.generateItems()
	s.clock.run(s.Duration)
	for _, counts := range s.perSecond {
		s.result.WorstSecond = max(s.result.WorstSecond, float64(counts[1])/float64(max(1, counts[0])))
	}
	return &s.result
}

func (s *simulation) endpoints() []wharffleet.Endpoint {
	var endpoints []wharffleet.Endpoint
	for zone := range s.Zones {
		for i := range s.Endpoints {
			id := fmt.Sprintf("e%d-%d", zone, i)
			endpoints = append(endpoints,
				wharffleet.Endpoint{ID: id, Service: service, Zone: zoneName(zone), Slots: s.Slots})
			s.engines[id] = s.newEngine(zone, i)
		}
	}
	return endpoints
}

const service = "model"

func zoneName(zone int) string { return fmt.Sprint("zone-", zone) }

// rate returns a zone's current online requests per second.
func (s *simulation) rate(zone int) float64 {
	factor := s.CalmFactor
	if s.clock.now%s.BurstPeriod >= s.BurstPeriod-s.BurstDuration {
		factor = s.BurstFactor
	}
	return s.Rate * s.ZoneShares[zone] * factor
}

// generateRequests sends requests to a zone's hosts with exponentially distributed gaps (a Poisson process).
func (s *simulation) generateRequests(zone int) {
	wait := s.rng.ExpFloat64() / s.rate(zone)
	s.clock.schedule(time.Duration(wait*float64(time.Second)), func() {
		s.hosts[zone*s.Hosts+s.rng.IntN(s.Hosts)].handleRequest()
		s.generateRequests(zone)
	})
}

// generateItems adds batch items to the hosts' backlogs.
func (s *simulation) generateItems() {
	s.clock.schedule(time.Duration(s.rng.ExpFloat64()/s.BatchRate*float64(time.Second)), func() {
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		h.backlog = append(h.backlog, s.jitter(s.BatchWork))
		s.generateItems()
	})
}

// jitter returns seconds of work, uniformly distributed between 0.5 and 1.5 times the mean.
func (s *simulation) jitter(mean time.Duration) float64 {
	return mean.Seconds() * (0.5 + s.rng.Float64())
}

// record counts the outcome of an online request.
func (s *simulation) record(arrivedAt time.Duration, served bool) {
	second := int(arrivedAt / time.Second)
	counts := s.perSecond[second]
	counts[0]++
	s.result.Online++
	waited := s.clock.now - arrivedAt
	switch {
	case !served:
		s.result.Refused++
		counts[1]++
	case waited > s.Objective:
		s.result.Late++
		counts[1]++
	}
	if served {
		s.result.FirstEventTimes = append(s.result.FirstEventTimes, waited)
	}
	s.perSecond[second] = counts
}

// recordAnswer counts a whole answer of an online request.
func (s *simulation) recordAnswer(arrivedAt time.Duration, r *inference) {
	s.result.AnswerTimes = append(s.result.AnswerTimes, s.clock.now-arrivedAt)
	s.result.LongestGap = max(s.result.LongestGap, r.longestGap)
}

// Compare simulates two variants of a load for seeds 1 to seeds. It returns the results of both, ordered by seed.
func Compare(options, other Options, seeds int) (baseline, alternative []*Result) {
	for seed := range seeds {
		options.Seed, other.Seed = uint64(seed+1), uint64(seed+1)
		baseline = append(baseline, Run(options))
		alternative = append(alternative, Run(other))
	}
	return baseline, alternative
}

// Merge returns the sum of results.
func Merge(results []*Result) *Result {
	sum := &Result{}
	for _, r := range results {
		sum.Online += r.Online
		sum.Late += r.Late
		sum.Refused += r.Refused
		sum.WorstSecond = max(sum.WorstSecond, r.WorstSecond)
		sum.BatchCompleted += r.BatchCompleted
		sum.BatchPreempted += r.BatchPreempted
		sum.Messages += r.Messages
		sum.FirstEventTimes = append(sum.FirstEventTimes, r.FirstEventTimes...)
		sum.AnswerTimes = append(sum.AnswerTimes, r.AnswerTimes...)
		sum.LongestGap = max(sum.LongestGap, r.LongestGap)
		sum.Weighed += r.Weighed
	}
	return sum
}

// Median returns the result with the median share of late requests.
func Median(results []*Result) *Result {
	sorted := slices.SortedFunc(slices.Values(results), func(a, b *Result) int {
		return cmp.Compare(a.LateShare(), b.LateShare())
	})
	return sorted[len(sorted)/2]
}

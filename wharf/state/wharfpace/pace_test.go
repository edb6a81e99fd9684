package wharfpace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const step = 3 * time.Millisecond

// answer returns the sample of an answer of 200 events on an endpoint whose pace is slower than step by a factor.
func answer(endpoint string, slower float64) Sample {
	const gaps = 199
	return Sample{
		Service: "s", Endpoint: endpoint, Zone: "z", Gaps: gaps, Span: time.Duration(gaps * slower * float64(step)),
	}
}

// learn has each endpoint answer several times, at intervals.
func learn(p *Paces, answers int, slower map[string]float64) {
	for range answers {
		time.Sleep(300 * time.Millisecond)
		for endpoint, factor := range slower {
			p.Learn(answer(endpoint, factor))
		}
	}
}

func factor(p *Paces, endpoint string) float64 {
	return p.Factor("s", endpoint, time.Now())
}

// TestSlowEndpointsHaveLessWeight plays a deployment of which a quarter of the endpoints runs at 0.55 of the usual speed and
// the others at 1.2.
func TestSlowEndpointsHaveLessWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New("z")
		learn(p, 5, map[string]float64{"slow": 1 / 0.55, "a": 1 / 1.2, "b": 1 / 1.2, "c": 1 / 1.2})
		assert.Assert(t, factor(p, "slow") < 0.1, "a slow endpoint doubles the time of an answer: %v", factor(p, "slow"))
		assert.Assert(t, factor(p, "slow") >= minFactor, "it must still be observed")
		assert.Equal(t, factor(p, "a"), 1.0)
		stats := p.Stats()
		assert.Equal(t, stats.Estimates, 4)
		assert.Equal(t, stats.Unequal, 1)
	})
}

// TestFewFastEndpointsHaveMoreWeight plays the opposite: most endpoints are slow.
func TestFewFastEndpointsHaveMoreWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New("z")
		learn(p, 5, map[string]float64{"fast": 1 / 1.2, "a": 1 / 0.55, "b": 1 / 0.55, "c": 1 / 0.55})
		assert.Assert(t, factor(p, "fast") > 10 && factor(p, "fast") <= maxFactor, "%v", factor(p, "fast"))
		assert.Equal(t, factor(p, "a"), 1.0)
	})
}

// TestAlikeEndpointsAreNotToldApart guards deployments whose endpoints differ by less than equalFactor, also by their number
// of running requests, and pause now and then: their placement must not change.
func TestAlikeEndpointsAreNotToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		p := New("z")
		for i := range 200 {
			for e := range 9 {
				slower := 1 + 0.35*random.Float64() // by running requests
				if e%3 == 0 {
					slower /= 1.3
				}
				if e == 1 && i%10 == 0 {
					slower *= 1.45 // a pause of 450 ms, 2.5 times slower, in an answer of 600 ms
				}
				p.Learn(answer(fmt.Sprint("e", e), slower))
				assert.Equal(t, factor(p, fmt.Sprint("e", e)), 1.0)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// TestUnknownPacesChangeNothing guards against weights that follow from too little: a host that has just started, an endpoint
// with one short answer, and a service with one endpoint.
func TestUnknownPacesChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New("z")
		assert.Equal(t, factor(p, "slow"), 1.0)
		learn(p, 5, map[string]float64{"slow": 5})
		assert.Equal(t, factor(p, "slow"), 1.0, "it is the only one")
		learn(p, 5, map[string]float64{"slow": 5, "a": 1, "b": 1})
		p.Learn(Sample{Service: "s", Endpoint: "new", Zone: "z", Gaps: 40, Span: 40 * 5 * step})
		assert.Equal(t, factor(p, "new"), 1.0)
		assert.Equal(t, p.Factor("other", "slow", time.Now()), 1.0)
		var none *Paces
		none.Learn(answer("a", 1))
		none.Receive([]Sample{answer("a", 1)})
		assert.Equal(t, none.Factor("s", "a", time.Now()), 1.0)
		assert.Equal(t, len(none.TakeUnsent("", 10)), 0)
		assert.Equal(t, none.Stats(), Stats{})
	})
}

// TestEndpointThatChangesItsSpeed guards against estimates that outlive what they were learned from: the new speed must count
// after a few answers, and a pace without answers must be forgotten.
func TestEndpointThatChangesItsSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New("z")
		others := map[string]float64{"a": 1, "b": 1, "c": 1}
		learn(p, 50, map[string]float64{"e": 2.2, "a": 1, "b": 1, "c": 1})
		assert.Assert(t, factor(p, "e") < 0.1)
		learn(p, 6, map[string]float64{"e": 1, "a": 1, "b": 1, "c": 1})
		assert.Equal(t, factor(p, "e"), 1.0)
		learn(p, 6, map[string]float64{"e": 2.2, "a": 1, "b": 1, "c": 1})
		assert.Assert(t, factor(p, "e") < 0.3, "%v", factor(p, "e"))
		learn(p, int(2*halfLife/(300*time.Millisecond))+1, others)
		assert.Equal(t, factor(p, "e"), 1.0, "nothing was heard of it for two half-lives")
	})
}

// TestStateIsBounded guards against memory that grows with what is learned or received, and against weights from samples
// that no endpoint can have.
func TestStateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New("z")
		random := rand.New(rand.NewPCG(1, 1))
		var samples []Sample
		for i := range 3 * maxEndpoints {
			s := answer(fmt.Sprint("e", i), 1e-6+1e6*random.Float64())
			s.Service, s.Zone = fmt.Sprint("s", i%7), "other"
			samples = append(samples, s)
		}
		for _, gaps := range []int{-1, 0, maxSampleGaps + 1} {
			samples = append(samples, Sample{Service: "s", Endpoint: "odd", Gaps: gaps, Span: time.Second})
		}
		samples = append(samples, Sample{Service: "s", Endpoint: "odd", Gaps: 500, Span: -time.Second}, Sample{})
		p.Receive(samples)
		assert.Equal(t, p.count, maxEndpoints)
		assert.Equal(t, len(p.unsent), maxEndpoints)
		for _, s := range samples {
			f := p.Factor(s.Service, s.Endpoint, time.Now())
			assert.Assert(t, f >= minFactor && f <= maxFactor, "%v: %v", s, f)
		}
		time.Sleep(5 * halfLife)
		assert.Equal(t, len(p.TakeUnsent("", 10)), 0)
		assert.Equal(t, len(p.unsent), 0)
		p.Learn(answer("e", 1))
		assert.Equal(t, p.count, 1)
		assert.Equal(t, len(p.services), 1)
	})
}

// TestSamplesAreToldOnce guards against samples that allocators count twice or send round: a host tells its own, an allocator
// those of endpoints in other zones.
func TestSamplesAreToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := answer("near", 1), answer("far", 1)
		far.Zone = "far-zone"
		host, allocator, remote := New("z"), New("z"), New("far-zone")
		host.Learn(near)
		host.Learn(near)
		host.Learn(far)
		assert.Equal(t, len(host.TakeUnsent("", 1)), 1)
		rest := host.TakeUnsent("", 10)
		assert.Equal(t, len(rest), 1)
		assert.Equal(t, len(host.TakeUnsent("", 10)), 0)
		host.Learn(near)
		host.Learn(near)
		host.Learn(far)
		host.Learn(far)
		told := host.TakeUnsent("", 10)
		assert.Equal(t, len(told), 2)
		allocator.Receive(told)
		assert.Equal(t, allocator.Stats().Estimates, 2)
		assert.Equal(t, len(allocator.TakeUnsent("third-zone", 10)), 0)
		remote.Receive(allocator.TakeUnsent("far-zone", 10))
		assert.Equal(t, remote.Stats().Estimates, 1)
		assert.Equal(t, len(allocator.TakeUnsent("", 10)), 0)
		assert.Equal(t, len(remote.TakeUnsent("", 10)), 0)
	})
}

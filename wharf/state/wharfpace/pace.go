package wharfpace

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// halfLife is the time in which the weight of what was observed halves. A host of a small fleet has an answer of each
	// endpoint every few seconds.
	halfLife = 20 * time.Second
	// minGaps is the smallest weight, in times between two events, from which a pace is used: two average answers, so that
	// a pause of some hundred ms in one of them does not make the endpoint slow.
	minGaps = 300
	// maxWeight bounds the weight, so that five answers show most of a change of speed, and a pace is forgotten after one and
	// a half half-lives without an answer.
	maxWeight = 800
	// maxSampleGaps bounds the gaps of a sample: more than an endpoint's answers have within unsentTime.
	maxSampleGaps = 100_000
	// maxEndpoints bounds the number of endpoints whose paces are kept.
	maxEndpoints = 4096
	// unsentTime is how long samples wait to be sent to another host; older ones are dropped. Hosts that place requests
	// call an allocator several times within it.
	unsentTime = 3 * time.Second
)

// Sample is the time between events of answers of an endpoint.
type Sample struct {
	Service  string
	Endpoint string // its ID
	Zone     string // of the endpoint
	Gaps     int    // number of times between two events
	Span     time.Duration
}

// Paces holds the paces of endpoints. It is safe for concurrent use. Its methods accept a nil receiver, which learns nothing.
type Paces struct {
	zone      string
	mu        sync.Mutex
	services  map[string]*service
	count     int               // of endpoints in all services
	cleanedAt time.Time         // when old estimates were last removed
	unsent    map[string]unsent // by endpoint, not sent to other hosts yet
	meanError float64           // see Stats
}

// unsent is a sum of samples of an endpoint.
type unsent struct {
	Sample
	since time.Time // of the first of them
}

// New returns an empty Paces for a host in a zone.
func New(zone string) *Paces {
	return &Paces{zone: zone, services: map[string]*service{}, unsent: map[string]unsent{}}
}

// Learn adds what this host has observed.
func (p *Paces) Learn(s Sample) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.add(s, now) {
		p.keepUnsent(s, now)
	}
}

// Receive adds what another host has observed. Samples of endpoints in other zones are forwarded to these zones.
func (p *Paces) Receive(samples []Sample) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range samples {
		if p.add(s, now) && s.Zone != p.zone {
			p.keepUnsent(s, now)
		}
	}
}

// TakeUnsent returns at most limit samples that were not taken yet, of the endpoints of a zone or, with zone "", of all.
func (p *Paces) TakeUnsent(zone string, limit int) []Sample {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.unsent, func(_ string, s unsent) bool { return now.Sub(s.since) > unsentTime })
	var taken []Sample
	for id, s := range p.unsent {
		if len(taken) >= limit {
			break
		}
		if zone == "" || s.Zone == zone {
			taken = append(taken, s.Sample)
			delete(p.unsent, id)
		}
	}
	return taken
}

// keepUnsent merges a sample into those that were not taken yet. The caller holds the lock.
func (p *Paces) keepUnsent(s Sample, now time.Time) {
	sum, found := p.unsent[s.Endpoint]
	switch {
	case !found && len(p.unsent) >= maxEndpoints:
		return
	case !found || now.Sub(sum.since) > unsentTime || sum.Gaps+s.Gaps > maxSampleGaps:
		sum = unsent{Sample: s, since: now}
	default:
		sum.Gaps, sum.Span = sum.Gaps+s.Gaps, sum.Span+s.Span
	}
	p.unsent[s.Endpoint] = sum
}

// add adds a sample and reports whether it is valid. The caller holds the lock.
func (p *Paces) add(s Sample, now time.Time) bool {
	if s.Endpoint == "" || s.Gaps <= 0 || s.Gaps > maxSampleGaps || s.Span <= 0 {
		return false
	}
	e := p.estimate(s.Service, s.Endpoint, now)
	if e == nil {
		return false
	}
	if pace := e.pace(now); pace > 0 {
		deviation := math.Abs(s.Span.Seconds()/float64(s.Gaps)/pace - 1)
		p.meanError += errorSmoothing * (deviation - p.meanError)
	}
	e.add(float64(s.Gaps), s.Span.Seconds(), now)
	return true
}

// errorSmoothing is the weight of the newest sample in the mean error.
const errorSmoothing = 0.02

// estimate returns the estimate of an endpoint, nil if there are too many. The caller holds the lock.
func (p *Paces) estimate(name, endpoint string, now time.Time) *estimate {
	if s := p.services[name]; s != nil && s.endpoints[endpoint] != nil {
		return s.endpoints[endpoint]
	}
	if p.count >= maxEndpoints || now.Sub(p.cleanedAt) > halfLife {
		p.removeOld(now)
	}
	if p.count >= maxEndpoints {
		return nil
	}
	s := p.services[name]
	if s == nil {
		s = &service{endpoints: map[string]*estimate{}}
		p.services[name] = s
	}
	e := &estimate{at: now}
	s.endpoints[endpoint] = e
	p.count++
	return e
}

// removeOld removes estimates that are too old to be used. The caller holds the lock.
func (p *Paces) removeOld(now time.Time) {
	p.count, p.cleanedAt = 0, now
	for _, s := range p.services {
		maps.DeleteFunc(s.endpoints, func(_ string, e *estimate) bool { return now.Sub(e.at) > 2*halfLife })
		p.count += len(s.endpoints)
	}
	maps.DeleteFunc(p.services, func(_ string, s *service) bool { return len(s.endpoints) == 0 })
}

// Factor returns by what an endpoint's weight is to be multiplied: 1 if its pace is not known or counts as equal to that of
// the others, less if it is slower, and more if it is faster.
func (p *Paces) Factor(name, endpoint string, now time.Time) float64 {
	if p == nil {
		return 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	if s == nil {
		return 1
	}
	return s.factor(endpoint, now)
}

// Stats describes the paces that are in use.
type Stats struct {
	Estimates int     `json:"estimates"` // endpoints whose pace is known
	Unequal   int     `json:"unequal"`   // of these, those whose weight it changes
	MaxAgeMs  int64   `json:"max-age-ms"`
	MeanError float64 `json:"mean-error"` // by which answers differ from the pace that was known before, 0.1 for 10 %
}

// Stats returns the number, age and error of the paces that are in use.
func (p *Paces) Stats() Stats {
	if p == nil {
		return Stats{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, stats := time.Now(), Stats{MeanError: p.meanError}
	for _, s := range p.services {
		for id, e := range s.endpoints {
			if e.pace(now) == 0 {
				continue
			}
			stats.Estimates++
			stats.MaxAgeMs = max(stats.MaxAgeMs, now.Sub(e.at).Milliseconds())
			if s.factor(id, now) != 1 {
				stats.Unequal++
			}
		}
	}
	return stats
}

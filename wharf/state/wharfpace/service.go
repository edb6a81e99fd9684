package wharfpace

import (
	"math"
	"slices"
	"time"
)

const (
	// equalFactor is the factor from the median of a service within which paces count as equal. Eight running requests
	// slow an endpoint by up to 1.7 against one, and answers rarely run at either extreme all the time.
	equalFactor = 1.5
	// exponent is applied to how far a pace is from the median beyond equalFactor. With 8, an endpoint of 0.46 of the usual
	// speed has a twentieth of the weight: most answers avoid it while others have free slots. Much less made hosts that
	// place by themselves choose the same slots of the faster ones.
	exponent = 8
	// minFactor and maxFactor bound the factor, so that a wrong pace takes an endpoint neither no requests nor all, and
	// endpoints whose speed has changed are still observed.
	minFactor, maxFactor = 0.05, 20
	// medianInterval is how often the median of a service is computed again.
	medianInterval = 200 * time.Millisecond
	// minKnown, or all if there are fewer, and one in minKnownShare of the endpoints observed must have a known pace for a
	// median: after the start of a host, the first one or two may be those that are unlike the others.
	minKnown, minKnownShare = 3, 4
)

// service holds the paces of the endpoints of a service.
type service struct {
	endpoints map[string]*estimate
	median    float64 // seconds, 0 if no pace is known
	medianAt  time.Time
}

// estimate is a sum of samples whose weight decays with age.
type estimate struct {
	gaps    float64
	seconds float64 // of all gaps
	at      time.Time
}

func (e *estimate) add(gaps, seconds float64, now time.Time) {
	factor := decay(now.Sub(e.at))
	e.gaps, e.seconds, e.at = e.gaps*factor+gaps, e.seconds*factor+seconds, now
	if e.gaps > maxWeight {
		e.gaps, e.seconds = maxWeight, e.seconds*maxWeight/e.gaps
	}
}

func decay(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// pace returns the mean seconds between two events, 0 if not enough is known.
func (e *estimate) pace(now time.Time) float64 {
	if e.gaps < minGaps || e.gaps*decay(now.Sub(e.at)) < minGaps {
		return 0
	}
	return e.seconds / e.gaps
}

func (s *service) factor(endpoint string, now time.Time) float64 {
	e := s.endpoints[endpoint]
	if e == nil {
		return 1
	}
	pace := e.pace(now)
	if pace == 0 {
		return 1
	}
	s.updateMedian(now)
	if s.median == 0 {
		return 1
	}
	return factorOf(pace / s.median)
}

// factorOf returns the factor for the ratio of a pace to the median. It has no step at equalFactor, so that a pace near it
// doesn't change placement from one moment to the next.
func factorOf(ratio float64) float64 {
	switch {
	case ratio > equalFactor:
		return max(minFactor, math.Pow(equalFactor/ratio, exponent))
	case ratio < 1/equalFactor:
		return min(maxFactor, math.Pow(1/(ratio*equalFactor), exponent))
	}
	return 1
}

func (s *service) updateMedian(now time.Time) {
	if now.Sub(s.medianAt) < medianInterval {
		return
	}
	s.medianAt, s.median = now, 0
	var paces []float64
	for _, e := range s.endpoints {
		if pace := e.pace(now); pace > 0 {
			paces = append(paces, pace)
		}
	}
	if known, all := len(paces), len(s.endpoints); known == 0 || known < min(minKnown, all) || known*minKnownShare < all {
		return
	}
	slices.Sort(paces)
	s.median = (paces[(len(paces)-1)/2] + paces[len(paces)/2]) / 2
}

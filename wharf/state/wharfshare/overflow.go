package wharfshare

import (
	"math"
	"slices"
	"time"
)

const (
	// slotLength is the time whose tokens are counted together, and slotCount the number of such times that are
	// remembered: two seconds, in which a burst is used up.
	slotLength = 50 * time.Millisecond
	slotCount  = 40
)

// slots counts tokens by the time at which they were due.
type slots struct {
	tokens [slotCount]float64
	last   int64 // number of the newest slot
	total  float64
}

func slotAt(now time.Time) int64 {
	return now.UnixNano() / int64(slotLength)
}

// advance forgets the slots that are too old.
func (s *slots) advance(now time.Time) {
	current := slotAt(now)
	if s.total == 0 || current-s.last >= slotCount {
		*s = slots{last: current}
	}
	for ; s.last < current; s.last++ {
		oldest := &s.tokens[(s.last+1)%slotCount]
		s.total -= *oldest
		*oldest = 0
	}
}

// add counts a rate from one time to another one, the present. If the wall clock was set meanwhile, no more is counted than
// for the time that has passed.
func (s *slots) add(rate float64, from, now time.Time) {
	s.advance(now)
	left := max(0, rate*now.Sub(from).Seconds())
	for slot := max(slotAt(from), s.last-slotCount+1); slot <= s.last; slot++ {
		start, end := time.Unix(0, slot*int64(slotLength)), time.Unix(0, (slot+1)*int64(slotLength))
		if start.Before(from) {
			start = from
		}
		if end.After(now) {
			end = now
		}
		tokens := min(left, rate*max(0, end.Sub(start).Seconds()))
		left -= tokens
		s.tokens[slot%slotCount] += tokens
		s.total += tokens
	}
}

// take removes up to wanted tokens of a slot, and returns their number.
func (s *slots) take(slot int64, wanted float64) float64 {
	if slot > s.last || slot <= s.last-slotCount || slot < 0 {
		return 0
	}
	taken := max(0, min(wanted, s.tokens[slot%slotCount]))
	s.tokens[slot%slotCount] -= taken
	s.total = max(0, s.total-taken)
	return taken
}

// limit removes the oldest tokens above a number.
func (s *slots) limit(tokens float64) {
	for slot := s.last - slotCount + 1; slot <= s.last && s.total > tokens; slot++ {
		s.take(slot, s.total-tokens)
	}
}

// claim removes up to wanted tokens, at most those of a rate and since a time, oldest first. It returns them by age, for
// the present slot, the one before, and so on, and the time up to which all are claimed.
func (s *slots) claim(wanted, rate float64, since, now time.Time) (claims []float64, upTo time.Time) {
	s.advance(now)
	perSlot := rate * slotLength.Seconds()
	slot := max(slotAt(since), s.last-slotCount+1)
	oldest := slot
	for ; slot <= s.last && wanted > 0; slot++ {
		claimed := s.take(slot, min(wanted, perSlot))
		wanted -= claimed
		claims = append(claims, claimed)
	}
	claims = append(claims, make([]float64, s.last-oldest+1-int64(len(claims)))...)
	slices.Reverse(claims)
	return claims, time.Unix(0, slot*int64(slotLength))
}

// grant removes up to the claimed tokens of each slot, and returns their number.
func (s *slots) grant(claims []float64, now time.Time) float64 {
	s.advance(now)
	granted := 0.0
	for age, claimed := range claims[:min(len(claims), slotCount)] {
		if claimed > 0 && !math.IsInf(claimed, 0) {
			granted += s.take(s.last-int64(age), claimed)
		}
	}
	return granted
}

package wharfshare

import "time"

// defaultSurplusPeriod is the surplus period of a new share.
const defaultSurplusPeriod = 100 * time.Millisecond

// Share is a token bucket (Turner 1986) whose tokens can be transferred. It is not safe for concurrent use.
type Share struct {
	rate    float64 // tokens a second
	burst   float64 // tokens
	level   float64 // at most the burst
	surplus surplus
	period  time.Duration // after which tokens above the burst have expired
	updated time.Time
	// overflowed is what this share could not refill because it was full.
	overflowed slots
	// claimable is what all other shares may have overflowed while tokens were missing in this one: one bucket for all hosts
	// would have refilled it. It is never more than what is missing. otherRate is the refill of these shares.
	claimable slots
	otherRate float64
}

// surplus holds tokens above the burst, which expire soon.
type surplus struct {
	older, newer float64
	aged         time.Time // when newer tokens last became older ones
}

// New returns a share that holds level tokens. It is not refilled until Resize sets its rate and burst.
func New(level float64, now time.Time) *Share {
	return &Share{level: level, updated: now, period: defaultSurplusPeriod}
}

// SetSurplusPeriod sets the age at which tokens above the burst have expired. Since those who lent them refill meanwhile,
// all shares together may hold more than the burst, by at most what they refill in this time.
func (s *Share) SetSurplusPeriod(period time.Duration) {
	s.period = period
}

// Resize sets this host's share of the rate and burst. It never raises the level.
func (s *Share) Resize(rate, burst float64, now time.Time) {
	s.refill(now)
	if rate != s.rate || burst != s.burst {
		s.surplus = surplus{}
	}
	s.rate, s.burst = rate, burst
	s.level = min(s.level, burst)
}

// Adjust sets this host's share of the rate and burst like Resize, but tokens above a smaller burst expire only after a
// while, and count again if the burst grows meanwhile.
func (s *Share) Adjust(rate, burst float64, now time.Time) {
	s.refill(now)
	s.rate, s.burst = rate, burst
	tokens := s.level + s.surplus.older + s.surplus.newer
	if s.level > burst {
		s.surplus.add(s.level-burst, now)
		s.level = burst
		return
	}
	s.surplus.take(min(burst, tokens) - s.level)
	s.level = min(burst, tokens)
}

// Cap lowers the level to a number of tokens if it is higher.
func (s *Share) Cap(tokens float64, now time.Time) {
	s.refill(now)
	s.surplus = surplus{}
	s.level = min(s.level, tokens)
}

// Take spends a token and reports whether there was one.
func (s *Share) Take(now time.Time) bool {
	if s.Level(now) < 1 {
		return false
	}
	s.spend(1)
	return true
}

// Overdraw spends a token if the level stays at or above -limit, and reports whether it does. Take fails until the debt
// is paid.
func (s *Share) Overdraw(limit float64, now time.Time) bool {
	if s.Level(now)-1 < -limit {
		return false
	}
	s.spend(1)
	return true
}

// spend removes tokens, those that expire first.
func (s *Share) spend(tokens float64) {
	s.level -= tokens - s.surplus.take(tokens)
}

// Withdraw removes up to wanted tokens for a transfer to another host, and returns their number. It leaves tokens above
// the burst, which would expire later if they were transferred again.
func (s *Share) Withdraw(wanted float64, now time.Time) float64 {
	s.refill(now)
	withdrawn := max(0, min(wanted, s.level))
	s.level -= withdrawn
	return withdrawn
}

// Deposit adds tokens that another host has transferred. Those above the burst expire soon.
func (s *Share) Deposit(tokens float64, now time.Time) {
	s.refill(now)
	above := max(0, tokens-max(0, s.burst-s.level))
	s.level += tokens - above
	s.surplus.add(above, now)
}

// SetOtherRate sets the refill of all other shares.
func (s *Share) SetOtherRate(rate float64) {
	s.otherRate = rate
}

// Claim returns up to wanted tokens that another share with a rate may have overflowed since a time, while they were
// missing in this one, by age in slots, and the time since which the next claim to that host may be. They are not claimed
// again, whether the other host grants them or not.
func (s *Share) Claim(wanted, rate float64, since, now time.Time) (claims []float64, next time.Time) {
	s.refill(now)
	return s.claimable.claim(wanted, rate, since, now)
}

// Grant removes claimed tokens, of which this share could not refill as many because it was full, and returns their
// number. Each is granted once.
func (s *Share) Grant(claims []float64, now time.Time) float64 {
	s.refill(now)
	return s.overflowed.grant(claims, now)
}

// Level returns the number of available tokens.
func (s *Share) Level(now time.Time) float64 {
	s.refill(now)
	return s.level + s.surplus.older + s.surplus.newer
}

// Rate returns this host's share of the rate.
func (s *Share) Rate() float64 {
	return s.rate
}

// Burst returns this host's share of the burst.
func (s *Share) Burst() float64 {
	return s.burst
}

// Wait returns the time until refilling alone yields a whole token, or 0 if one is available or the rate is 0.
func (s *Share) Wait(now time.Time) time.Duration {
	level := s.Level(now)
	if level >= 1 || s.rate <= 0 {
		return 0
	}
	return time.Duration((1 - level) / s.rate * float64(time.Second))
}

func (s *Share) refill(now time.Time) {
	elapsed := now.Sub(s.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	from := s.updated
	s.updated = now
	s.surplus.expire(now, s.period/2)
	if s.rate > 0 && s.level+s.rate*elapsed > s.burst {
		full := from.Add(time.Duration(max(0, s.burst-s.level) / s.rate * float64(time.Second)))
		s.overflowed.add(s.rate, full, now)
	}
	if s.level < s.burst {
		s.level = min(s.burst, s.level+s.rate*elapsed)
	}
	s.claimable.add(s.otherRate, from, now)
	s.claimable.limit(s.burst - s.level)
}

func (s *surplus) add(tokens float64, now time.Time) {
	if s.older+s.newer == 0 {
		s.aged = now
	}
	s.newer += tokens
}

// take removes up to wanted tokens, older ones first, and returns their number.
func (s *surplus) take(wanted float64) float64 {
	older := min(wanted, s.older)
	newer := min(wanted-older, s.newer)
	s.older -= older
	s.newer -= newer
	return older + newer
}

// expire removes tokens that were added one to two half periods ago.
func (s *surplus) expire(now time.Time, half time.Duration) {
	switch age := now.Sub(s.aged); {
	case age >= 2*half:
		*s = surplus{}
	case age >= half:
		*s = surplus{older: s.newer, aged: s.aged.Add(half)}
	}
}

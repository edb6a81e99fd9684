package wharfshare

import "time"

// Share is a token bucket (Turner 1986) whose tokens can be transferred. It is not safe for concurrent use.
type Share struct {
	rate    float64 // tokens a second
	burst   float64 // tokens
	level   float64
	updated time.Time
}

// New returns a share that holds level tokens. It is not refilled until Resize sets its rate and burst.
func New(level float64, now time.Time) *Share {
	return &Share{level: level, updated: now}
}

// Resize sets this host's share of the rate and burst. It never raises the level.
func (s *Share) Resize(rate, burst float64, now time.Time) {
	s.refill(now)
	s.rate, s.burst = rate, burst
	s.level = min(s.level, burst)
}

// Take spends a token and reports whether there was one.
func (s *Share) Take(now time.Time) bool {
	s.refill(now)
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

// Overdraw spends a token if the level stays at or above -limit, and reports whether it does. Take fails until the debt
// is paid.
func (s *Share) Overdraw(limit float64, now time.Time) bool {
	s.refill(now)
	if s.level-1 < -limit {
		return false
	}
	s.level--
	return true
}

// Withdraw removes up to wanted tokens for a transfer to another host, and returns their number.
func (s *Share) Withdraw(wanted float64, now time.Time) float64 {
	s.refill(now)
	withdrawn := max(0, min(wanted, s.level))
	s.level -= withdrawn
	return withdrawn
}

// Deposit adds tokens that another host has transferred. The level may exceed the burst afterwards.
func (s *Share) Deposit(tokens float64, now time.Time) {
	s.refill(now)
	s.level += tokens
}

// Level returns the number of available tokens.
func (s *Share) Level(now time.Time) float64 {
	s.refill(now)
	return s.level
}

// Wait returns the time until refilling alone yields a whole token, or 0 if one is available or the rate is 0.
func (s *Share) Wait(now time.Time) time.Duration {
	s.refill(now)
	if s.level >= 1 || s.rate <= 0 {
		return 0
	}
	return time.Duration((1 - s.level) / s.rate * float64(time.Second))
}

func (s *Share) refill(now time.Time) {
	elapsed := now.Sub(s.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	s.updated = now
	if s.level < s.burst {
		s.level = min(s.burst, s.level+s.rate*elapsed)
	}
}

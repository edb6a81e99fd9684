package wharfshare

import "time"

// Share is a token bucket (Turner 1986) that can hand tokens over; its owner serialises calls.
type Share struct {
	rate    float64 // tokens a second
	burst   float64 // tokens
	level   float64
	updated time.Time
}

// New returns a share that holds level tokens, without limits until Resize sets them.
func New(level float64, now time.Time) *Share {
	return &Share{level: level, updated: now}
}

// Resize sets this host's part of rate and burst; the level never grows by it.
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

// Withdraw hands over up to wanted tokens, and returns how many.
func (s *Share) Withdraw(wanted float64, now time.Time) float64 {
	s.refill(now)
	given := max(0, min(wanted, s.level))
	s.level -= given
	return given
}

// Deposit adds tokens that another host has handed over.
func (s *Share) Deposit(tokens float64, now time.Time) {
	s.refill(now)
	s.level += tokens
}

// Level returns the tokens at hand.
func (s *Share) Level(now time.Time) float64 {
	s.refill(now)
	return s.level
}

// Wait returns the time until a whole token is there by refilling alone.
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

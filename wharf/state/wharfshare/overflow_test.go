package wharfshare

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestClaimedTokensStayWithinOneBucket guards against claims that give back more than full shares overflowed while tokens
// were missing elsewhere: all that is spent must fit into one bucket, but for the tokens above a share's burst and the slot
// in which a share became full.
func TestClaimedTokensStayWithinOneBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, rate, burst = 4, 40.0, 20.0
		now := time.Unix(100, 0)
		shares, claimed := newShares(hosts, rate, burst, now), [hosts][hosts]time.Time{}
		var spent []time.Time
		hot := rapid.IntRange(0, hosts-1).Draw(t, "hot")
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.OneOf(rapid.IntRange(0, 5), rapid.IntRange(0, 2500)).Draw(t, "ms")) * time.Millisecond)
			from, to := rapid.IntRange(0, hosts-1).Draw(t, "from"), rapid.IntRange(0, hosts-1).Draw(t, "to")
			if rapid.Bool().Draw(t, "to hot") {
				to = hot
			}
			if wanted := rapid.Float64Range(0, 10).Draw(t, "pull"); from != to {
				claims, next := shares[to].Claim(wanted, rate/hosts, claimed[to][from], now)
				claimed[to][from] = next
				granted := shares[from].Grant(claims, now)
				shares[to].Deposit(granted+shares[from].Withdraw(wanted-granted, now), now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				if shares[to].Take(now) {
					spent = append(spent, now)
				}
			}
		}
		assertOneBucket(t, spent, rate, burst+rate*(defaultSurplusPeriod+slotLength).Seconds()+1)
	})
}

func newShares(hosts int, rate, burst float64, now time.Time) []*Share {
	var shares []*Share
	for range hosts {
		s := New(math.MaxFloat64, now)
		s.Resize(rate/float64(hosts), burst/float64(hosts), now)
		s.SetOtherRate(rate - rate/float64(hosts))
		shares = append(shares, s)
	}
	return shares
}

func assertOneBucket(t *rapid.T, spent []time.Time, rate, burst float64) {
	for i, first := range spent {
		for j := i; j < len(spent); j++ {
			if window := spent[j].Sub(first).Seconds(); float64(j-i+1) > burst+rate*window {
				t.Fatalf("%d tokens in %v s, one bucket has %.1f", j-i+1, window, burst+rate*window)
			}
		}
	}
}

// TestDrainedShareClaimsWhatFullSharesOverflow guards against a fleet that refills with a part of its rate only, since all
// but one of its shares are full.
func TestDrainedShareClaimsWhatFullSharesOverflow(t *testing.T) {
	const hosts, rate, burst = 4, 40.0, 20.0
	now := time.Unix(100, 0)
	shares := newShares(hosts, rate, burst, now)
	for range 5 {
		assert.Assert(t, shares[0].Take(now))
	}
	now = now.Add(100 * time.Millisecond)
	granted := 0.0
	for _, full := range shares[1:] {
		claims, _ := shares[0].Claim(5, rate/hosts, time.Time{}, now)
		granted += full.Grant(claims, now)
	}
	assert.Assert(t, math.Abs(granted-3) < 0.01, "%v", granted)
	assert.Assert(t, math.Abs(shares[0].Level(now)-1) < 0.01, "%v", shares[0].Level(now))
}

// TestOverflowIsGrantedOnce guards against two drained shares that both get what one full share overflowed.
func TestOverflowIsGrantedOnce(t *testing.T) {
	const hosts, rate, burst = 4, 40.0, 20.0
	now := time.Unix(100, 0)
	shares := newShares(hosts, rate, burst, now)
	for _, drained := range shares[:2] {
		for range 5 {
			assert.Assert(t, drained.Take(now))
		}
	}
	now = now.Add(100 * time.Millisecond)
	granted := 0.0
	for _, drained := range shares[:2] {
		claims, _ := drained.Claim(5, rate/hosts, time.Time{}, now)
		granted += shares[2].Grant(claims, now)
	}
	assert.Assert(t, math.Abs(granted-1) < 0.01, "%v", granted)
}

// TestTokensAboveTheBurstExpire guards against transferred tokens that are kept while the host that gave them refills.
func TestTokensAboveTheBurstExpire(t *testing.T) {
	now := time.Unix(100, 0)
	s := New(5, now)
	s.Resize(1, 5, now)
	s.Deposit(3, now)
	assert.Equal(t, s.Level(now), 8.0)
	assert.Equal(t, s.Withdraw(8, now), 5.0)
	assert.Assert(t, s.Take(now))
	now = now.Add(defaultSurplusPeriod)
	assert.Assert(t, s.Level(now) < 1, "%v", s.Level(now))
}

// TestSmallerShareKeepsItsTokensForAMoment guards against the loss of a whole burst when reports arrive a little late.
func TestSmallerShareKeepsItsTokensForAMoment(t *testing.T) {
	now := time.Unix(100, 0)
	s := New(20, now)
	s.Resize(20, 20, now)
	s.Adjust(1, 1, now)
	assert.Equal(t, s.Level(now), 20.0)
	now = now.Add(defaultSurplusPeriod / 4)
	s.Adjust(20, 20, now)
	now = now.Add(defaultSurplusPeriod)
	assert.Equal(t, s.Level(now), 20.0)
	s.Adjust(1, 1, now)
	now = now.Add(defaultSurplusPeriod)
	s.Adjust(20, 20, now)
	assert.Equal(t, s.Level(now), 1.0)
}

package wharfshare

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMovedTokensAreSpentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, rate, burst = 4, 12.0, 8.0
		now := time.Unix(0, 0)
		shares := make([]*Share, hosts)
		for i := range shares {
			shares[i] = New(math.MaxFloat64, now)
			shares[i].Resize(rate/hosts, burst/hosts, now)
		}
		var spent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			from, to := rapid.IntRange(0, hosts-1).Draw(t, "from"), rapid.IntRange(0, hosts-1).Draw(t, "to")
			if rapid.Bool().Draw(t, "move") && from != to {
				shares[to].Deposit(shares[from].Withdraw(1, now), now)
			}
			if shares[to].Take(now) {
				spent = append(spent, now)
			}
		}
		// A part that is above its own burst because of moves does not refill, so that no window holds more than the
		// burst, what was refilled and what was moved on top: each host can hold at most one moved token more.
		for i, first := range spent {
			for j := i; j < len(spent); j++ {
				window := spent[j].Sub(first).Seconds()
				count := float64(j - i + 1)
				if count > burst+rate*window+hosts+1e-6 {
					t.Fatalf("%v tokens in %v s", count, window)
				}
			}
		}
	})
}

func TestResizeNeverRaisesTheLevel(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(1, now)
	s.Resize(10, 100, now)
	assert.Equal(t, s.Level(now), 1.0)
	s.Resize(10, 0.5, now)
	assert.Equal(t, s.Level(now), 0.5)
}

func TestGiveHandsOverPartsOfTokens(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(0.4, now)
	s.Resize(1, 1, now)
	assert.Equal(t, s.Withdraw(1, now), 0.4)
	assert.Equal(t, s.Withdraw(1, now), 0.0)
}

package wharfbucket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const term = 500 * time.Millisecond

// spending is the moment at which a drawn token is used, at the latest when its grant ends.
type spending struct {
	at     time.Duration
	tokens float64
}

// checkWindows requires that in every window, of every length, no more is spent than burst + rate × window.
func checkWindows(t interface{ Fatalf(string, ...any) }, spends []spending, rate, burst float64) {
	for i := range spends {
		total := 0.0
		for j := i; j < len(spends); j++ {
			total += spends[j].tokens
			window := spends[j].at - spends[i].at
			if allowed := burst + rate*window.Seconds(); total > allowed+1e-6 {
				t.Fatalf("%.3f tokens spent in %v, but only %.3f allowed", total, window, allowed)
			}
		}
	}
}

// zonePair is the history of two zones' buckets of one organisation, which lend to each other.
type zonePair struct {
	buckets [2]*Bucket
	start   time.Time
	now     time.Time
	lent    []loan
	spends  []spending
}

// loan is on its way from one zone's bucket to the other's.
type loan struct {
	to      int
	tokens  float64
	expires time.Time
}

func (z *zonePair) draw(zone int, tokens float64, term, delay time.Duration) {
	if z.buckets[zone].Take(tokens, term, z.now) {
		z.spends = append(z.spends, spending{at: z.now.Sub(z.start) + delay, tokens: tokens})
	}
}

func (z *zonePair) lend(from int, part float64) {
	tokens := z.buckets[from].Level(z.now) * part
	if z.buckets[from].Take(tokens, term, z.now) {
		z.lent = append(z.lent, loan{to: 1 - from, tokens: tokens, expires: z.now.Add(term)})
	}
}

// deliver delivers the oldest loan, unless it is too late.
func (z *zonePair) deliver() {
	if len(z.lent) == 0 {
		return
	}
	l := z.lent[0]
	z.lent = z.lent[1:]
	if z.now.Before(l.expires) {
		z.buckets[l.to].Add(l.tokens, z.now)
	}
}

func sortSpends(spends []spending) {
	for i := 1; i < len(spends); i++ {
		for j := i; j > 0 && spends[j].at < spends[j-1].at; j-- {
			spends[j], spends[j-1] = spends[j-1], spends[j]
		}
	}
}

func TestEveryWindowStaysWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 50).Draw(t, "rate")
		burst := rapid.Float64Range(1, 40).Draw(t, "burst")
		start := time.Unix(0, 0)
		z := &zonePair{start: start, now: start}
		z.buckets = [2]*Bucket{New(rate/2, burst/2, start), New(rate/2, burst/2, start)}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			z.now = z.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			z.step(t, rate/2, burst/2)
		}
		sortSpends(z.spends)
		checkWindows(t, z.spends, rate, burst)
	})
}

func (z *zonePair) step(t *rapid.T, rate, burst float64) {
	zone := rapid.IntRange(0, 1).Draw(t, "zone")
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0: // the owner dies and another inherits once its lease is reclaimed
		z.buckets[zone] = Inherit(rate, burst, z.now, term)
	case 1: // the owner hands over
		level, outstanding := z.buckets[zone].Release(z.now)
		z.buckets[zone] = Restore(rate, burst, level, outstanding, z.now, term)
	case 2, 3:
		z.lend(zone, rapid.Float64Range(0, 1).Draw(t, "part"))
	case 4, 5:
		z.deliver()
	default:
		tokens := rapid.Float64Range(0.1, 30).Draw(t, "tokens")
		length := rapid.SampledFrom([]time.Duration{term, term / 3}).Draw(t, "term")
		delay := time.Duration(rapid.Int64Range(0, int64(length)-1).Draw(t, "delay"))
		z.draw(zone, min(tokens, z.buckets[zone].Level(z.now)), length, delay)
	}
}

func TestTake(t *testing.T) {
	start := time.Unix(0, 0)
	tests := []struct {
		name   string
		tokens float64
		taken  bool
	}{
		{name: "within the burst", tokens: 4, taken: true},
		{name: "all", tokens: 10, taken: true},
		{name: "more than the burst", tokens: 10.5},
		{name: "nothing", tokens: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, New(5, 10, start).Take(test.tokens, term, start), test.taken)
		})
	}
}

func TestOutstandingGrantsCountAgainstBurst(t *testing.T) {
	start := time.Unix(0, 0)
	b := New(1000, 10, start)
	assert.Assert(t, b.Take(10, term, start))
	assert.Assert(t, !b.Take(1, term, start.Add(term/2)))
	assert.Assert(t, b.Take(10, term, start.Add(term+20*time.Millisecond)))
}

func TestInheritedBucketIsClosedDuringHold(t *testing.T) {
	start := time.Unix(0, 0)
	b := Inherit(10, 10, start, term)
	assert.Assert(t, !b.Take(1, term, start.Add(term-time.Millisecond)))
	assert.Assert(t, b.Wait(start) >= term)
	assert.Assert(t, b.Take(10, term, start.Add(term+time.Second)))
}

package wharfbucket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const term = 500 * time.Millisecond

// spending is the use of taken tokens, which happens before their grant expires.
type spending struct {
	at     time.Duration
	tokens float64
}

// checkWindows checks that no window of any length contains more spent tokens than burst + rate × window.
func checkWindows(t interface{ Fatalf(string, ...any) }, spendings []spending, rate, burst float64) {
	for i := range spendings {
		total := 0.0
		for j := i; j < len(spendings); j++ {
			total += spendings[j].tokens
			window := spendings[j].at - spendings[i].at
			if allowed := burst + rate*window.Seconds(); total > allowed+1e-6 {
				t.Fatalf("%.3f tokens spent in %v, but only %.3f allowed", total, window, allowed)
			}
		}
	}
}

// zonePair simulates the buckets of one organisation in two zones, which lend tokens to each other.
type zonePair struct {
	buckets   [2]*Bucket
	start     time.Time
	now       time.Time
	inFlight  []loan
	spendings []spending
}

// loan is a transfer in flight from one zone's bucket to the other's.
type loan struct {
	to      int
	tokens  float64
	expires time.Time
}

func (z *zonePair) draw(zone int, tokens float64, term, delay time.Duration) {
	if z.buckets[zone].Take(tokens, term, z.now) {
		z.spendings = append(z.spendings, spending{at: z.now.Sub(z.start) + delay, tokens: tokens})
	}
}

func (z *zonePair) lend(from int, part float64) {
	tokens := z.buckets[from].Level(z.now) * part
	if z.buckets[from].Take(tokens, term, z.now) {
		z.inFlight = append(z.inFlight, loan{to: 1 - from, tokens: tokens, expires: z.now.Add(term)})
	}
}

// deliver delivers the oldest loan, or drops it if it has expired.
func (z *zonePair) deliver() {
	if len(z.inFlight) == 0 {
		return
	}
	l := z.inFlight[0]
	z.inFlight = z.inFlight[1:]
	if z.now.Before(l.expires) {
		z.buckets[l.to].Add(l.tokens, z.now)
	}
}

func sortByTime(spendings []spending) {
	for i := 1; i < len(spendings); i++ {
		for j := i; j > 0 && spendings[j].at < spendings[j-1].at; j-- {
			spendings[j], spendings[j-1] = spendings[j-1], spendings[j]
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
		sortByTime(z.spendings)
		checkWindows(t, z.spendings, rate, burst)
	})
}

func (z *zonePair) step(t *rapid.T, rate, burst float64) {
	zone := rapid.IntRange(0, 1).Draw(t, "zone")
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0: // the owner fails, and another inherits the bucket after its lease is reclaimed
		z.buckets[zone] = Inherit(rate, burst, z.now, term)
	case 1: // the owner releases the bucket to another
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

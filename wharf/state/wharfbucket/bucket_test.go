package wharfbucket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const term = 500 * time.Millisecond

// spend is the moment at which a drawn token is used, at the latest when its grant ends.
type spend struct {
	at     time.Duration
	tokens int
}

// checkWindows requires that in every window, of every length, no more is spent than burst + rate × window.
func checkWindows(t interface{ Fatalf(string, ...any) }, spends []spend, rate, burst float64) {
	for i := range spends {
		total := 0
		for j := i; j < len(spends); j++ {
			total += spends[j].tokens
			window := spends[j].at - spends[i].at
			if allowed := burst + rate*window.Seconds(); float64(total) > allowed+1e-6 {
				t.Fatalf("%d tokens spent in %v, but only %.3f allowed", total, window, allowed)
			}
		}
	}
}

// drawn is the history of draws from buckets that follow one another; each token is spent late or early as chosen.
type drawn struct {
	bucket *Bucket
	start  time.Time
	now    time.Time
	spends []spend
}

func (d *drawn) draw(want int, delay time.Duration) {
	if tokens := d.bucket.Draw(want, term, d.now); tokens > 0 {
		d.spends = append(d.spends, spend{at: d.now.Sub(d.start) + delay, tokens: tokens})
	}
}

func sortSpends(spends []spend) {
	for i := 1; i < len(spends); i++ {
		for j := i; j > 0 && spends[j].at < spends[j-1].at; j-- {
			spends[j], spends[j-1] = spends[j-1], spends[j]
		}
	}
}

func TestEveryWindowHoldsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 50).Draw(t, "rate")
		burst := rapid.Float64Range(1, 40).Draw(t, "burst")
		start := time.Unix(0, 0)
		d := &drawn{bucket: New(rate, burst, start), start: start, now: start}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // the owner dies and another inherits once its lease is reclaimed
				d.bucket = Inherit(rate, burst, d.now, term)
			case 1: // the owner hands over
				level, outstanding := d.bucket.Release(d.now)
				d.bucket = Restore(rate, burst, level, outstanding, d.now, term)
			default:
				want := rapid.IntRange(1, 30).Draw(t, "want")
				delay := time.Duration(rapid.Int64Range(0, int64(term)-1).Draw(t, "delay"))
				d.draw(want, delay)
			}
		}
		sortSpends(d.spends)
		checkWindows(t, d.spends, rate, burst)
	})
}

func TestDraw(t *testing.T) {
	start := time.Unix(0, 0)
	tests := []struct {
		name  string
		want  int
		after time.Duration
		drawn int
	}{
		{name: "within the burst", want: 4, drawn: 4},
		{name: "more than the burst", want: 99, drawn: 10},
		{name: "nothing", want: 0, drawn: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(5, 10, start)
			assert.Equal(t, b.Draw(test.want, term, start.Add(test.after)), test.drawn)
		})
	}
}

func TestOutstandingGrantsLeaveNoRoom(t *testing.T) {
	start := time.Unix(0, 0)
	b := New(1000, 10, start)
	assert.Equal(t, b.Draw(10, term, start), 10)
	assert.Equal(t, b.Draw(10, term, start.Add(term/2)), 0)
	assert.Equal(t, b.Draw(10, term, start.Add(term+20*time.Millisecond)), 10)
}

func TestInheritedBucketIsClosedForTheHold(t *testing.T) {
	start := time.Unix(0, 0)
	b := Inherit(10, 10, start, term)
	assert.Equal(t, b.Draw(1, term, start.Add(term-time.Millisecond)), 0)
	assert.Assert(t, b.Wait(start) >= term)
	assert.Equal(t, b.Draw(10, term, start.Add(term+time.Second)), 10)
}

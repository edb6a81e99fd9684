package wharfcapacity

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const seeds = 10

// wholeOnly are views of which other zones learn with the whole state alone, as before changes were relayed.
var wholeOnly = GossipDelays{SameZone: 30 * time.Millisecond, FullInterval: 580 * time.Millisecond}

// TestBurstsUpToCapacityAreServedOnTimeWhereZonesHearOfChanges plays bursts that take all slots, unevenly over the zones,
// with batch items between them.
func TestBurstsUpToCapacityAreServedOnTimeWhereZonesHearOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now, before := Compare(Default(), wholeOnly, seeds)
		t.Log("changes relayed:  ", Median(now))
		t.Log("whole states only:", Median(before))
		assert.Assert(t, Median(now).LateShare() < 0.5*Median(before).LateShare())
		refused, items, itemsBefore := 0, 0, 0
		for i := range now {
			refused += now[i].Refused
			items += now[i].BatchCompleted
			itemsBefore += before[i].BatchCompleted
		}
		assert.Assert(t, refused < 5*len(now)*now[0].Online/100, "one in twenty at most is refused: %d", refused)
		assert.Assert(t, float64(items) > 0.9*float64(itemsBefore), "batch items are not what pays for it: %d, before %d", items, itemsBefore)
	})
}

func TestLoadBelowCapacityIsServedOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := Default()
		options.BurstFactor = options.CalmFactor
		r := Run(options)
		t.Log(r)
		assert.Equal(t, r.Refused, 0)
		assert.Assert(t, r.LateShare() < 0.001)
	})
}

func TestEngineSlowsDownWithWhatItRunsAndLetsOthersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c clock
		e := newEngine(&c, 2, 0.5)
		var ends, firsts []time.Duration
		start := func() {
			r := &run{left: 1, work: 1, prefill: 0.1}
			r.first = func() { firsts = append(firsts, c.now.Round(time.Millisecond)) }
			r.done = func() { ends = append(ends, c.now.Round(time.Millisecond)) }
			e.arrive(r)
		}
		start()
		start()
		start()
		c.run(10 * time.Second)
		assert.DeepEqual(t, firsts, []time.Duration{150 * time.Millisecond, 150 * time.Millisecond, 1600 * time.Millisecond})
		assert.DeepEqual(t, ends, []time.Duration{1500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond})
	})
}

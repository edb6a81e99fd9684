package wharfcapacity

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const costSeeds = 3

// calmer returns a load of which the bursts leave slots free, for long enough to learn paces: when all slots are taken, no
// placement is better than another.
func calmer(o Options) Options {
	o.BurstFactor = 1.3
	o.Duration = 24 * time.Second
	return o
}

// compareByCost simulates a load without and with placement by paces, merges the results of all seeds and logs them.
func compareByCost(t *testing.T, name string, o Options) (off, on *Result) {
	t.Helper()
	byCost := o
	byCost.ByCost = true
	before, after := Compare(o, byCost, costSeeds)
	off, on = Merge(before), Merge(after)
	t.Log(name, "off:", off)
	t.Log(name, "on: ", on)
	return off, on
}

// assertNoWorse requires that paces cost callers nothing.
func assertNoWorse(t *testing.T, off, on *Result) {
	t.Helper()
	// Shares refused in bursts differ by up to 0.01 between runs of the same placement.
	assert.Assert(t, on.MissedShare() < off.MissedShare()+0.02, "%.3f late or refused, before %.3f",
		on.MissedShare(), off.MissedShare())
	assert.Assert(t, on.AnswerQuantile(0.95) < off.AnswerQuantile(0.95)*103/100)
	assert.Assert(t, on.LongestGap < 250*time.Millisecond, "callers tolerate pauses of 250 ms")
	assert.Assert(t, 100*on.BatchCompleted > 95*off.BatchCompleted)
}

// TestPacesShortenAnswersOfMixedSpeeds guards against placing a quarter of the answers on endpoints of 0.55 of the usual speed
// while others have free slots.
func TestPacesShortenAnswersOfMixedSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		off, on := compareByCost(t, "large fleet", calmer(LargeFleet().WithAllocators().WithMixedSpeeds()))
		assertNoWorse(t, off, on)
		assert.Assert(t, on.AnswerQuantile(0.95) < off.AnswerQuantile(0.95)*9/10)
		assert.Assert(t, on.MeanAnswerTime() < off.MeanAnswerTime()*97/100)
		off, on = compareByCost(t, "small fleet", calmer(Default().WithMixedSpeeds()))
		assertNoWorse(t, off, on)
	})
}

// TestPacesCostNothingInBursts plays bursts that take all slots.
func TestPacesCostNothingInBursts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := LargeFleet().WithAllocators().WithMixedSpeeds()
		off, on := compareByCost(t, "large fleet", o)
		assertNoWorse(t, off, on)
	})
}

// TestPacesOfAlikeEndpointsChangeNothing plays speeds of 1 and 1.3, and equal ones, with pauses.
func TestPacesOfAlikeEndpointsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, o := range map[string]Options{
			"similar": LargeFleet().WithSimilarSpeeds(), "equal": LargeFleet().withPauses(),
		} {
			off, on := compareByCost(t, name, calmer(o.WithAllocators()))
			assertNoWorse(t, off, on)
			assert.Assert(t, on.Weighed < 2*on.Online/100, "%d weights differ, of some ten for each of %d requests",
				on.Weighed, on.Online)
		}
	})
}

// TestAllocatorsWithoutPacesLearn guards against allocators that place worse than without paces after they have taken over, and
// against ones that never learn what other hosts have seen.
func TestAllocatorsWithoutPacesLearn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := calmer(LargeFleet().WithAllocators().WithMixedSpeeds())
		o.AllocatorsLostAt = 12 * time.Second
		off, on := compareByCost(t, "allocators replaced", o)
		assertNoWorse(t, off, on)
		assert.Assert(t, on.AnswerQuantile(0.95) < off.AnswerQuantile(0.95)*95/100)
	})
}

// TestEndpointsThatChangeTheirSpeed guards against old paces: slow endpoints become fast, and fast ones slow, and the former
// must be used again.
func TestEndpointsThatChangeTheirSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := calmer(LargeFleet().WithAllocators().WithMixedSpeeds())
		o.SpeedsChangeAt = 12 * time.Second
		off, on := compareByCost(t, "speeds change", o)
		assertNoWorse(t, off, on)
		assert.Assert(t, on.AnswerQuantile(0.95) < off.AnswerQuantile(0.95)*95/100)
	})
}

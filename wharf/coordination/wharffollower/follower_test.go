package wharffollower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

const period = 400 * time.Millisecond

// play follows a store that gives these answers one after another, and returns whether each question was a full one and
// when it came.
func play(t *testing.T, answers ...error) (full []bool, at []time.Duration, f *Follower) {
	t.Helper()
	f = New("tests", period, func() uint64 { return 1 })
	ctx, cancel := context.WithCancel(context.Background())
	begun := time.Now()
	err := f.Serve(ctx, func(_ context.Context, whole bool) error {
		full, at = append(full, whole), append(at, time.Since(begun))
		if len(full) == len(answers) {
			defer cancel()
		}
		return answers[len(full)-1]
	})
	assert.Equal(t, err, context.Canceled)
	return full, at, f
}

func TestReadsAllOnceAndThenChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full, at, f := play(t, nil, nil, nil)
		assert.DeepEqual(t, full, []bool{true, false, false})
		assert.DeepEqual(t, at, []time.Duration{0, period, 2 * period})
		assert.Assert(t, !f.Down())
	})
}

func TestReadsAllAgainOnceChangesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := wharfrecords.ErrUnavailable
		full, _, _ := play(t, down, nil, wharfrecords.ErrHistoryDropped, down, down, nil, down, nil)
		assert.DeepEqual(t, full, []bool{true, true, false, true, true, true, false, false})
	})
}

func TestPausesLongerFromFailureToFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := make([]error, 12)
		for i := range answers {
			answers[i] = wharfrecords.ErrUnavailable
		}
		_, at, f := play(t, answers...)
		assert.Assert(t, f.Down())
		for i := 1; i < len(at); i++ {
			pause := at[i] - at[i-1]
			assert.Assert(t, pause >= firstPause/2 && pause <= 3*MaxBackoff/2, "pause %v", pause)
		}
		assert.Assert(t, at[1] <= 3*firstPause/2)
		assert.Assert(t, at[11]-at[10] >= MaxBackoff/2)
	})
}

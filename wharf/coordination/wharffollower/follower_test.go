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

// runFollower runs a Follower whose polls return the given answers in turn. It returns whether each poll was full and
// when it started.
func runFollower(t *testing.T, answers ...error) (full []bool, at []time.Duration, f *Follower) {
	t.Helper()
	f = New("tests", period, func() uint64 { return 1 })
	ctx, cancel := context.WithCancel(context.Background())
	start := time.Now()
	err := f.Serve(ctx, func(_ context.Context, fullRead bool) error {
		full, at = append(full, fullRead), append(at, time.Since(start))
		if len(full) == len(answers) {
			defer cancel()
		}
		return answers[len(full)-1]
	})
	assert.Equal(t, err, context.Canceled)
	return full, at, f
}

func TestFullReadOnceThenChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full, at, f := runFollower(t, nil, nil, nil)
		assert.DeepEqual(t, full, []bool{true, false, false})
		assert.DeepEqual(t, at, []time.Duration{0, period, 2 * period})
		assert.Assert(t, !f.Down())
	})
}

func TestLostHistoryTriggersFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := wharfrecords.ErrUnavailable
		full, _, _ := runFollower(t, down, nil, wharfrecords.ErrHistoryDropped, down, down, nil, down, nil)
		assert.DeepEqual(t, full, []bool{true, true, false, true, true, true, false, false})
	})
}

func TestBackoffGrowsWithFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := make([]error, 12)
		for i := range answers {
			answers[i] = wharfrecords.ErrUnavailable
		}
		_, at, f := runFollower(t, answers...)
		assert.Assert(t, f.Down())
		for i := 1; i < len(at); i++ {
			backoff := at[i] - at[i-1]
			assert.Assert(t, backoff >= initialBackoff/2 && backoff <= 3*MaxBackoff/2, "backoff %v", backoff)
		}
		assert.Assert(t, at[1] <= 3*initialBackoff/2)
		assert.Assert(t, at[11]-at[10] >= MaxBackoff/2)
	})
}

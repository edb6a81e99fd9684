package wharfpermit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOnlineReportsTakeRoom(t *testing.T) {
	now := time.Now()
	p := New(16, 0.25, time.Second)
	assert.Equal(t, p.Available(now), 12)
	p.Report("a", 5, now)
	p.Report("b", 4, now)
	p.Report("a", 6, now)
	assert.Equal(t, p.Available(now), 2)
	assert.Assert(t, p.Acquire(now))
	assert.Assert(t, p.Acquire(now))
	assert.Assert(t, !p.Acquire(now))
	p.Report("b", 6, now)
	assert.Equal(t, p.Available(now), -2)
	assert.Equal(t, p.Available(now.Add(2*time.Second)), 10, "old reports do not count")
	p.Release()
	assert.Equal(t, p.Available(now.Add(2*time.Second)), 11)
}

package wharfgrant

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSpend(t *testing.T) {
	var g Grant
	now := time.Now()
	assert.Assert(t, !g.Spend(now))
	g.Refill(2, now.Add(time.Second))
	assert.Assert(t, g.Spend(now))
	assert.Assert(t, !g.Spend(now.Add(time.Second)), "tokens cannot be spent at their expiry")
	assert.Assert(t, g.Spend(now))
	assert.Assert(t, !g.Spend(now))
}

func TestTokensAreSpentOnce(t *testing.T) {
	var g Grant
	var spent atomic.Int64
	g.Refill(1000, time.Now().Add(time.Minute))
	var work sync.WaitGroup
	for range 8 {
		work.Go(func() {
			for range 500 {
				if g.Spend(time.Now()) {
					spent.Add(1)
				}
			}
		})
	}
	work.Wait()
	assert.Equal(t, spent.Load(), int64(1000))
}

func BenchmarkSpend(b *testing.B) {
	var g Grant
	g.Refill(1<<40, time.Now().Add(time.Hour))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g.Spend(time.Now())
		}
	})
}

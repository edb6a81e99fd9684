package wharflimiter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfroute"
)

// tolerance is the number of requests, a hundredth of what rate and burst allow in five seconds, that may be missing: tokens
// on their way between hosts, and those of hosts whose reports were lost.
const tolerance = 13

// TestSuddenLoadGetsTheBurst guards against refusing an organisation that sends six times its usual load from one
// moment on while most of its burst is unused at other hosts or zones.
func TestSuddenLoadGetsTheBurst(t *testing.T) {
	for _, hosts := range []int{10, 61, 570} {
		for _, skew := range []float64{0, 0.6, 0.9} {
			t.Run(fmt.Sprintf("%d hosts, %.1f skewed", hosts, skew), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(t, hosts, wharfroute.Organisation{Name: "org", Rate: 232, Burst: 232}, 150, skew)
					defer m.close()
					m.reportLoss = 0.01
					m.load(97, 10750*time.Millisecond)
					within, rejected, total := m.counts()
					start := time.Now()
					m.load(582, 3250*time.Millisecond)
					time.Sleep(time.Second)
					m.logSeconds(t, start.Add(-1750*time.Millisecond), 5)
					delay, missing := m.largestDelay(start, start.Add(3250*time.Millisecond), tolerance)
					t.Logf("%d of %d rejected within the rate, %.2f calls for each request; then up to %v behind one bucket, "+
						"%d missing after 100ms", rejected, total, float64(within)/float64(total), delay, missing)
					m.assertWithinLimit(t)
					assert.Assert(t, rejected == 0, "%d of %d requests within the rate were rejected", rejected, total)
					assert.Assert(t, delay <= 100*time.Millisecond, "%v behind one bucket for all hosts", delay)
				})
			})
		}
	}
}

// counts returns the numbers of calls between hosts, of rejected requests and of all requests.
func (m *model) counts() (calls, rejected, requests int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls, m.rejected, m.rejected + len(m.admittedAt)
}

// logSeconds logs the requests admitted in each second.
func (m *model) logSeconds(t *testing.T, start time.Time, seconds int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var admitted, exact []int
	for range seconds {
		end := start.Add(time.Second)
		admitted = append(admitted, countBefore(m.admittedAt, end)-countBefore(m.admittedAt, start))
		exact = append(exact, countBefore(m.exactAt, end)-countBefore(m.exactAt, start))
		start = end
	}
	t.Logf("admitted in each second %v, by one bucket %v; %d rejected, %d of them with nothing pulled, mean level %.2f",
		admitted, exact, m.rejected, m.unasked, m.levels/float64(max(1, m.rejected)))
}

package wharfdaemon_test

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// admission is an admitted request. The admission took place at some time between start and end.
type admission struct {
	start, end time.Duration
}

// checkEveryWindow checks that no time window wholly contains more than burst + rate × window admissions.
func checkEveryWindow(t *testing.T, admissions []admission, rate, burst float64) {
	t.Helper()
	slices.SortFunc(admissions, func(a, b admission) int { return cmp.Compare(a.start, b.start) })
	for i := range admissions {
		var ends []time.Duration
		for j := i; j < len(admissions); j++ {
			ends = append(ends, admissions[j].end)
		}
		slices.Sort(ends)
		for count, end := range ends {
			window := end - admissions[i].start
			allowed := burst + rate*window.Seconds()
			if float64(count+1) > allowed {
				t.Fatalf("%d requests were admitted within %v, but %.2f are allowed", count+1, window, allowed)
			}
		}
	}
}

// flood sends requests of one organisation through every host for the given time and returns the admissions. It calls
// during, if not nil, meanwhile.
func (c *cluster) flood(length time.Duration, gap time.Duration, during func()) []admission {
	var mu sync.Mutex
	var admissions []admission
	start := time.Now()
	var senders sync.WaitGroup
	for index := range c.nodes {
		for range 2 {
			senders.Go(func() {
				for time.Since(start) < length {
					sent := time.Since(start)
					r := c.nodes[index].chat(keyOf("alpha"), "hello", 1, false)
					if r.status == http.StatusOK {
						mu.Lock()
						admissions = append(admissions, admission{start: sent, end: time.Since(start)})
						mu.Unlock()
					}
					time.Sleep(gap)
				}
			})
		}
	}
	if during != nil {
		during()
	}
	senders.Wait()
	return admissions
}

var lowRate = clusterOptions{
	zones: []string{"a", "b"}, daemons: 2, engines: 2, slots: 64, tokenTime: time.Millisecond, rate: 40, burst: 30,
}

func TestRateLimitHoldsAcrossHosts(t *testing.T) {
	tests := []struct {
		name   string
		during func(*cluster) func()
		least  float64 // minimum share of the rate that must be admitted
	}{
		{name: "steady", during: func(*cluster) func() { return nil }, least: 0.9},
		{name: "an owner is killed", during: func(c *cluster) func() {
			return func() {
				time.Sleep(time.Second)
				c.nodes[1].kill()
			}
		}, least: 0.5},
		{name: "zones are cut off from each other", during: func(c *cluster) func() {
			return func() {
				time.Sleep(time.Second)
				c.setPartition(betweenZones)
				time.Sleep(2 * time.Second)
				c.setPartition(nil)
			}
		}, least: 0.5},
		{name: "a host restarts again and again", during: func(c *cluster) func() {
			return func() {
				for range 3 {
					time.Sleep(700 * time.Millisecond)
					c.nodes[0].daemon.Drain()
					<-c.nodes[0].done
					c.nodes[0] = c.run(c.nodes[0].settings)
				}
			}
		}, least: 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, lowRate)
			const length = 5 * time.Second
			admissions := c.flood(length, 5*time.Millisecond, test.during(c))
			checkEveryWindow(t, admissions, lowRate.rate, lowRate.burst)
			least := test.least * lowRate.rate * length.Seconds()
			assert.Assert(t, float64(len(admissions)) >= least, "only %d requests were admitted", len(admissions))
		})
	}
}

func TestNewOwnerDoesNotStartWithAFullBurst(t *testing.T) {
	s := lowRate
	s.rate = 4
	s.burst = 80
	c := newCluster(t, s)
	admissions := c.flood(9*time.Second, 5*time.Millisecond, func() {
		for i := range c.nodes {
			time.Sleep(time.Second)
			c.nodes[i].kill()
			time.Sleep(leaseTerm)
			c.nodes[i] = c.run(c.nodes[i].settings)
		}
	})
	checkEveryWindow(t, admissions, s.rate, s.burst)
}

func TestRateRefusalHasRetryAfter(t *testing.T) {
	s := lowRate
	s.rate = 1
	s.burst = 4
	c := newCluster(t, s)
	var refused reply
	c.eventually(5*time.Second, func() bool {
		refused = c.nodes[0].chat(keyOf("alpha"), "hello", 1, false)
		return refused.status == http.StatusTooManyRequests
	})
	assert.Equal(t, refused.code, "over-rate")
	assert.Equal(t, refused.runState, "not-run")
	assert.Assert(t, refused.retryAfter != "")
}

func TestSkewedOrganisationGetsItsWholeRate(t *testing.T) {
	s := lowRate
	c := newCluster(t, s)
	const length = 4 * time.Second
	start := time.Now()
	admitted := 0
	for time.Since(start) < length {
		if r := c.nodes[0].chat(keyOf("alpha"), "hello", 1, false); r.status == http.StatusOK {
			admitted++
		}
		time.Sleep(5 * time.Millisecond)
	}
	least := 0.9 * s.rate * length.Seconds()
	assert.Assert(t, float64(admitted) >= least,
		"only %d of at least %v requests were admitted through a single host", admitted, least)
}

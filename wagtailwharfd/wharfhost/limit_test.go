package wharfhost

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
)

// mostRuns returns the largest number of runs in any window that begins at least a time after the first run.
func mostRuns(runs []wharfstandin.Run, after, window time.Duration) int {
	slices.SortFunc(runs, func(a, b wharfstandin.Run) int { return a.At.Compare(b.At) })
	most, last := 0, 0
	for i, r := range runs {
		for last < len(runs) && runs[last].At.Sub(r.At) < window {
			last++
		}
		if r.At.Sub(runs[0].At) >= after {
			most = max(most, last-i)
		}
	}
	return most
}

// TestEndpointsGetNoMoreThanTheLimitThatTheyName plays 50 requests a second on four endpoints, of which three name a limit.
func TestEndpointsGetNoMoreThanTheLimitThatTheyName(t *testing.T) {
	const (
		limit    = 3.0
		learning = 3 * time.Second // after the first answer that names the limit
		window   = 4 * time.Second
		allowed  = int(1.5*limit*4) + 5 // the stated target
	)
	for name, start := range map[string]func(testing.TB, int, int) *cluster{"small": newCluster, "large": newLargeCluster} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, 5, 4)
			for i, e := range c.endpoints {
				e.Events = 3
				if i > 0 {
					e.SetFaults(wharfstandin.Faults{Limit: limit})
				}
			}
			var calls sync.WaitGroup
			started := time.Now()
			for n := 0; time.Since(started) < learning+window+time.Second; n++ {
				time.Sleep(20 * time.Millisecond)
				calls.Go(func() { c.send(c.hosts[n%5], keyA, "POST", "/resume/x", fmt.Sprint("l", n), "") })
			}
			calls.Wait()
			for _, e := range c.endpoints[1:] {
				runs := e.Runs()
				count := mostRuns(runs, learning, window)
				assert.Check(t, count <= allowed, "%s got %d requests in %v, allowed %d", e.ID, count, window, allowed)
				assert.Check(t, len(runs) >= int(limit*float64(window/time.Second)), "%s got only %d requests", e.ID, len(runs))
			}
		})
	}
}

func TestEndpointThatSaysItIsLeavingGetsNoNewRequests(t *testing.T) {
	for name, start := range map[string]func(testing.TB, int, int) *cluster{"small": newCluster, "large": newLargeCluster} {
		t.Run(name, func(t *testing.T) {
			c := start(t, 3, 3)
			leaving := c.endpoints[0] // its registration stays as it is
			leaving.SetFaults(wharfstandin.Faults{Leaving: true})
			sent := 0
			send := func() {
				sent++
				id := fmt.Sprint("l", sent)
				c.assertComplete(c.send(c.hosts[sent%3], keyA, "POST", "/resume/x", id, ""), id)
			}
			c.await("the endpoint has answered", func() bool {
				send()
				return len(leaving.Runs()) > 0
			})
			before := len(leaving.Runs())
			time.Sleep(200 * time.Millisecond) // a tenth of the time in which it may still get requests
			for range 30 {
				send()
			}
			assert.Equal(t, len(leaving.Runs()), before)
		})
	}
}

package wharfhost

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfpace"
)

// startPaced starts a host that weighs endpoints by their paces, beside one that does not, with four endpoints of which one
// takes four times as long for each event.
func startPaced(t *testing.T) (c *cluster, paced *runningHost) {
	t.Helper()
	c = newCluster(t, 1, 4)
	for i, e := range c.endpoints {
		e.Events, e.EventTime = 100, time.Millisecond
		if i == 0 {
			e.EventTime = 4 * time.Millisecond
		}
	}
	c.byCost = true
	paced = c.start("paced")
	c.await("the new host is ready", func() bool {
		return paced.table() != nil && len(paced.directory.View().Endpoints) == 4
	})
	return c, paced
}

func vars(h *runningHost) string {
	w := httptest.NewRecorder()
	h.serveMetrics(w, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
	return w.Body.String()
}

// TestSlowEndpointIsLearnedFromItsAnswers guards against paces that no answer reaches: online requests must teach the host
// which endpoint is slow, where the settings say so, and nothing elsewhere.
func TestSlowEndpointIsLearnedFromItsAnswers(t *testing.T) {
	c, paced := startPaced(t)
	sent := 0
	slow := func() float64 { return paced.paces.Factor(assistant, c.endpoints[0].ID, time.Now()) }
	c.await("the host knows the slow endpoint", func() bool {
		var requests sync.WaitGroup
		for range 12 {
			sent++
			id := fmt.Sprint("r-", sent)
			requests.Go(func() { c.assertComplete(c.send(paced, keyA, "POST", "/resume/", id, "body"), id) })
		}
		requests.Wait()
		return slow() < 0.5
	})
	for _, e := range c.endpoints[1:] {
		factor := paced.paces.Factor(assistant, e.ID, time.Now())
		assert.Assert(t, factor >= 1, "%s: %v", e.ID, factor)
	}
	assert.Assert(t, strings.Contains(vars(paced), `"paces":{"estimates":4,"unequal":`), vars(paced))
	c.assertComplete(c.send(c.hosts[0], keyA, "POST", "/resume/", "off", "body"), "off")
	assert.Assert(t, c.hosts[0].paces == nil)
	assert.Assert(t, !strings.Contains(vars(c.hosts[0]), `"paces"`))
}

// TestPacesAreLearnedFromBatchItems guards against hosts that learn from online requests only: batch items run longest.
func TestPacesAreLearnedFromBatchItems(t *testing.T) {
	c, paced := startPaced(t)
	assert.Equal(t, c.submit(paced, "job", 4).Status, 202)
	learned := 0
	c.await("the items' events are learned", func() bool {
		learned += gaps(paced.paces.TakeUnsent("", 10))
		return learned >= c.endpoints[0].Events-1
	})
	c.assertJob(paced, "job", 4)
}

func gaps(samples []wharfpace.Sample) int {
	sum := 0
	for _, s := range samples {
		sum += s.Gaps
	}
	return sum
}

package wharfdaemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf-standin/wharftokens"
)

// balancer picks ready hosts in turn, like the platform's load balancer.
type balancer struct {
	c    *cluster
	mu   sync.RWMutex
	next int
}

func (b *balancer) pick() *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.c.nodes {
		b.next++
		if n := b.c.nodes[b.next%len(b.c.nodes)]; n.daemon.Ready() == nil {
			return n
		}
	}
	return b.c.nodes[0]
}

func TestRollingRestartAbortsNoRequests(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a", "b"}, daemons: 2, engines: 2, slots: 16, tokenTime: 5 * time.Millisecond, rate: 1000, burst: 1000,
	})
	b := &balancer{c: c}
	file := c.nodes[0].upload(keyOf("beta"), itemLines("job", 200, 10), "")
	job := c.nodes[0].submit(keyOf("beta"), file.id(), "key")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for number := range 6 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("client %d question %d", number, i)
				r := b.pick().chat(keyOf("alpha"), prompt, 20, number%2 == 0)
				assert.Check(t, r.err == nil && r.status == http.StatusOK, "%v %d %s", r.err, r.status, r.code)
				if number%2 == 0 {
					assert.Check(t, strings.Contains(r.body, "data: [DONE]"))
				} else {
					assert.Check(t, strings.Contains(r.body, wharftokens.TextFor(prompt).FirstTokens(20)))
				}
			}
		})
	}
	for i := range c.nodes {
		c.nodes[i].daemon.Drain()
		<-c.nodes[i].done
		restarted := c.run(c.nodes[i].settings)
		b.mu.Lock()
		c.nodes[i] = restarted
		b.mu.Unlock()
		c.awaitReady()
	}
	close(stop)
	clients.Wait()
	var finished batch
	c.eventually(30*time.Second, func() bool {
		finished, _ = c.nodes[0].job(keyOf("beta"), job.id())
		return finished.Status == "completed"
	})
	c.checkResults(c.nodes[1], keyOf("beta"), "job", finished, 200, 10)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a"}, daemons: 2, engines: 2, slots: 16, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	leaving := c.engines[0]
	request, err := http.NewRequest(http.MethodPut, c.platformURL+"/hosts", strings.NewReader(fmt.Sprintf(`[{"name":%q,"state":"leaving"}]`, leaving.name)))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	time.Sleep(4 * time.Second)
	before := leaving.Load().Total
	for i := range 40 {
		r := c.nodes[i%2].chat(keyOf("alpha"), "hello", 2, false)
		assert.Equal(t, r.status, http.StatusOK)
	}
	assert.Equal(t, leaving.Load().Total, before)
}

func TestOrdersEndInTheAcceptedState(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("engine checks %v", checks), func(t *testing.T) {
			s := twoZones
			s.checkFences = checks
			c := newCluster(t, s)
			c.eventually(10*time.Second, c.followsOrder("1"))
			c.apply(1, strings.Replace(c.bundle, `model-version = "1"`, `model-version = "2"`, 1))
			c.eventually(10*time.Second, c.followsOrder("2"))
			time.Sleep(6 * time.Second) // until orders to the endpoints are considered settled
			// A host that resumes after a pause may still consider itself the leader and send an outdated order.
			stale := fmt.Sprintf(`{"model-version":"1","fence":%d}`, 0)
			for _, e := range c.engines {
				response, err := http.Post(e.url+"/orders", "application/json", strings.NewReader(stale))
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.StatusCode == http.StatusConflict, checks)
			}
			c.eventually(40*time.Second, c.followsOrder("2"))
		})
	}
}

// followsOrder returns a condition that holds when every engine follows an order for the given model version.
func (c *cluster) followsOrder(version string) func() bool {
	return func() bool {
		for _, e := range c.engines {
			if e.Order().ModelVersion != version {
				return false
			}
		}
		return true
	}
}

func TestBatchYieldsToOnline(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a"}, daemons: 2, engines: 1, slots: 16, tokenTime: 5 * time.Millisecond, rate: 1000, burst: 1000,
	})
	file := c.nodes[0].upload(keyOf("beta"), itemLines("job", 40, 300), "")
	job := c.nodes[0].submit(keyOf("beta"), file.id(), "key")
	c.eventually(10*time.Second, func() bool { return c.engineRunning() >= 10 })
	var online sync.WaitGroup
	start := time.Now()
	for i := range 12 {
		online.Go(func() {
			r := c.nodes[i%2].chat(keyOf("alpha"), fmt.Sprint("burst ", i), 100, true)
			assert.Check(t, r.status == http.StatusOK)
		})
	}
	c.eventually(2*time.Second, func() bool { return c.engineRunning() >= 12 })
	c.eventually(time.Second, func() bool { return c.engineRunning() <= 13 })
	t.Logf("batch items yielded after %v", time.Since(start))
	online.Wait()
	var finished batch
	c.eventually(60*time.Second, func() bool {
		finished, _ = c.nodes[0].job(keyOf("beta"), job.id())
		return finished.Status == "completed"
	})
	c.checkResults(c.nodes[0], keyOf("beta"), "job", finished, 40, 300)
}

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

// balancer sends to hosts that are ready, as the platform's does.
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

func TestRollingRestartCutsNothingOff(t *testing.T) {
	c := newCluster(t, shape{zones: []string{"a", "b"}, daemons: 2, engines: 2, slots: 16, token: 5 * time.Millisecond, rate: 1000, burst: 1000})
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
	var ended batch
	c.eventually(30*time.Second, func() bool {
		ended, _ = c.nodes[0].job(keyOf("beta"), job.id())
		return ended.Status == "completed"
	})
	c.checkResults(c.nodes[1], keyOf("beta"), "job", ended, 200, 10)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	c := newCluster(t, shape{zones: []string{"a"}, daemons: 2, engines: 2, slots: 16, token: time.Millisecond, rate: 1000, burst: 1000})
	leaver := c.engines[0]
	request, err := http.NewRequest(http.MethodPut, c.base+"/hosts", strings.NewReader(fmt.Sprintf(`[{"name":%q,"state":"leaving"}]`, leaver.name)))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	time.Sleep(4 * time.Second)
	before := leaver.Load().Total
	for i := range 40 {
		r := c.nodes[i%2].chat(keyOf("alpha"), "hello", 2, false)
		assert.Equal(t, r.status, http.StatusOK)
	}
	assert.Equal(t, leaver.Load().Total, before)
}

func TestOrdersEndInTheAcceptedState(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("engine checks %v", checks), func(t *testing.T) {
			s := twoZones
			s.checks = checks
			c := newCluster(t, s)
			c.eventually(10*time.Second, c.inOrder("1"))
			c.apply(1, strings.Replace(c.bundle, `model-version = "1"`, `model-version = "2"`, 1))
			c.eventually(10*time.Second, c.inOrder("2"))
			time.Sleep(6 * time.Second) // until the endpoints are taken for settled
			// a host that was paused still believes in its authority and gives its old order late
			stale := fmt.Sprintf(`{"model-version":"1","fence":%d}`, 0)
			for _, e := range c.engines {
				response, err := http.Post(e.url+"/orders", "application/json", strings.NewReader(stale))
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.StatusCode == http.StatusConflict, checks)
			}
			c.eventually(40*time.Second, c.inOrder("2"))
		})
	}
}

// inOrder returns whether every engine follows an order for a version.
func (c *cluster) inOrder(version string) func() bool {
	return func() bool {
		for _, e := range c.engines {
			if e.Order().ModelVersion != version {
				return false
			}
		}
		return true
	}
}

func TestBatchGivesWayToOnline(t *testing.T) {
	c := newCluster(t, shape{zones: []string{"a"}, daemons: 2, engines: 1, slots: 16, token: 5 * time.Millisecond, rate: 1000, burst: 1000})
	file := c.nodes[0].upload(keyOf("beta"), itemLines("job", 40, 300), "")
	job := c.nodes[0].submit(keyOf("beta"), file.id(), "key")
	c.eventually(10*time.Second, func() bool { return c.engineRunning() >= 10 })
	var online sync.WaitGroup
	begun := time.Now()
	for i := range 12 {
		online.Go(func() {
			r := c.nodes[i%2].chat(keyOf("alpha"), fmt.Sprint("burst ", i), 100, true)
			assert.Check(t, r.status == http.StatusOK)
		})
	}
	c.eventually(2*time.Second, func() bool { return c.engineRunning() >= 12 })
	c.eventually(time.Second, func() bool { return c.engineRunning() <= 13 })
	t.Logf("batch was out of the way after %v", time.Since(begun))
	online.Wait()
	var ended batch
	c.eventually(60*time.Second, func() bool {
		ended, _ = c.nodes[0].job(keyOf("beta"), job.id())
		return ended.Status == "completed"
	})
	c.checkResults(c.nodes[0], keyOf("beta"), "job", ended, 40, 300)
}

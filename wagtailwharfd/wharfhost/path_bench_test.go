package wharfhost

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

// BenchmarkRequest sends concurrent requests through a daemon to endpoints whose responses take 100 ms. Callers,
// daemon, endpoints and store share the process; run it with -cpuprofile to profile the daemon.
func BenchmarkRequest(b *testing.B) {
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	c := newCluster(b, 1, 40)
	h := c.hosts[0]
	var count atomic.Int64
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp := c.send(h, keyA, "POST", "/resume/", fmt.Sprint(count.Add(1)), "the body")
			assert.Check(b, resp.Status == http.StatusOK, "%d", resp.Status)
		}
	})
}

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

// BenchmarkRequest sends requests, several at once, through a daemon to endpoints; callers, daemon, endpoints and store run
// in this process, and an answer takes a tenth of a second. With -cpuprofile it shows what the daemon spends time on.
func BenchmarkRequest(b *testing.B) {
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	c := newCluster(b, 1, 40)
	h := c.hosts[0]
	var count atomic.Int64
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a := c.send(h, keyA, "POST", "/resume/", fmt.Sprint(count.Add(1)), "the body")
			assert.Check(b, a.Status == http.StatusOK, "%d", a.Status)
		}
	})
}

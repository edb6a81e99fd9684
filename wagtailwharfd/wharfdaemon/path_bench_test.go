package wharfdaemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// benchmarkChat sends concurrent chat requests to url.
func benchmarkChat(b *testing.B, url, key string, stream bool) {
	b.Helper()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chatBody("hello", 4, stream)))
			if err != nil {
				b.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer "+key)
			request.Header.Set("X-Request-Id", "direct")
			response, err := client.Do(request)
			if err != nil {
				b.Fatal(err)
			}
			if response.StatusCode != http.StatusOK {
				b.Fatal(response.Status)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
}

// BenchmarkPath compares requests through a daemon with requests sent directly to the simulated engine.
func BenchmarkPath(b *testing.B) {
	c := newCluster(b, clusterOptions{
		zones: []string{"a"}, daemons: 1, engines: 1, slots: 4096, tokenTime: 10 * time.Microsecond, rate: 1e9, burst: 1e9,
	})
	for name, stream := range map[string]bool{"plain": false, "streamed": true} {
		b.Run("straight/"+name, func(b *testing.B) { benchmarkChat(b, c.engines[0].url, "", stream) })
		b.Run("daemon/"+name, func(b *testing.B) { benchmarkChat(b, c.nodes[0].url, keyOf("alpha"), stream) })
	}
}

package wharfdaemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf-standin/wharfhttpservice"
	"wagtailwharf.example/wharf-standin/wharfmodel"
	"wagtailwharf.example/wharf-standin/wharfplatform"
	"wagtailwharf.example/wharf-standin/wharftokens"
	"wagtailwharf.example/wharf/protocol/wharfsettings"
)

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

func shortTimeouts(s *wharfsettings.Settings) {
	s.Limits.FirstByteTimeout = wharfsettings.Duration(500 * time.Millisecond)
	s.Limits.IdleTimeout = wharfsettings.Duration(500 * time.Millisecond)
}

var oneHost = clusterOptions{
	zones: []string{"a"}, daemons: 1, engines: 2, slots: 32, tokenTime: time.Millisecond, rate: 10000, burst: 10000, editSettings: shortTimeouts,
}

func TestCallerGetsItsOwnWholeAnswer(t *testing.T) {
	faults := map[string]wharfmodel.Faults{
		"crossed": {MismatchedIDs: 1},
		"cut":     {Disconnects: 1},
		"hanging": {Hangs: 1},
		"body":    {MismatchedBodyIDs: 2},
		"ended":   {Truncations: 2},
		"all":     {MismatchedIDs: 1, MismatchedBodyIDs: 1, Disconnects: 1, Truncations: 1, Hangs: 1},
	}
	for name, fault := range faults {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s stream %v", name, stream), func(t *testing.T) {
				c := newCluster(t, oneHost)
				for _, e := range c.engines {
					e.SetFaults(fault)
				}
				for i := range 12 {
					prompt := fmt.Sprintf("question %d", i)
					r := c.nodes[0].chat(keyOf("alpha"), prompt, 6, stream)
					checkComplete(t, r, prompt, 6, stream)
				}
			})
		}
	}
}

// checkComplete checks that r is the complete expected response or is recognisable as failed or truncated.
func checkComplete(t *testing.T, r reply, prompt string, tokens int, stream bool) {
	t.Helper()
	if r.status != http.StatusOK || r.err != nil {
		return
	}
	whole := wharftokens.TextFor(prompt).FirstTokens(tokens)
	if !stream {
		assert.Assert(t, strings.Contains(r.body, whole), r.body)
		return
	}
	if !strings.Contains(r.body, "data: [DONE]") {
		assert.Assert(t, strings.Contains(r.body, `"error"`), r.body)
		return
	}
	for i := range tokens {
		token := wharftokens.TextFor(prompt).Token(i)
		assert.Equal(t, strings.Count(r.body, fmt.Sprintf("%q", token)), 1, r.body)
	}
}

func TestSilentConnectionsAreAbandoned(t *testing.T) {
	c := newCluster(t, oneHost)
	for range 4 {
		assert.Equal(t, c.nodes[0].chat(keyOf("alpha"), "warm", 2, false).status, http.StatusOK)
	}
	c.engines[0].SetFaults(wharfmodel.Faults{Silent: true})
	for i := range 6 {
		r := c.nodes[0].chat(keyOf("alpha"), fmt.Sprint("after ", i), 2, false)
		assert.Equal(t, r.status, http.StatusOK, r.body)
	}
}

func TestClientDisconnectCancelsEndpointRequest(t *testing.T) {
	s := oneHost
	s.tokenTime = 20 * time.Millisecond
	c := newCluster(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.nodes[0].sendContext(ctx, http.MethodPost, "/v1/chat/completions", keyOf("alpha"), nil, chatBody("long", 500, true))
	}()
	c.eventually(2*time.Second, func() bool { return c.engineRunning() == 1 })
	cancel()
	<-done
	c.eventually(2*time.Second, func() bool { return c.engineRunning() == 0 })
}

func TestStreamMayOutlastBodyTimeout(t *testing.T) {
	s := oneHost
	s.tokenTime = 20 * time.Millisecond
	s.editSettings = func(s *wharfsettings.Settings) {
		shortTimeouts(s)
		s.Limits.BodyTimeout = wharfsettings.Duration(200 * time.Millisecond)
	}
	c := newCluster(t, s)
	r := c.nodes[0].chat(keyOf("alpha"), "long", 50, true)
	checkComplete(t, r, "long", 50, true)
	assert.Assert(t, strings.Contains(r.body, "[DONE]"), r.body)
}

func TestSlowRequestBodyTimesOut(t *testing.T) {
	s := oneHost
	s.editSettings = func(s *wharfsettings.Settings) { s.Limits.BodyTimeout = wharfsettings.Duration(200 * time.Millisecond) }
	c := newCluster(t, s)
	conn := dial(t, c.nodes[0].settings.Callers.String())
	_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", keyOf("alpha"))
	assert.NilError(t, err)
	response := make([]byte, 512)
	n, err := conn.Read(response)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(response[:n]), " 408 "), string(response[:n]))
}

func TestSlowRequestHeaderTimesOut(t *testing.T) {
	c := newCluster(t, oneHost)
	conn := dial(t, c.nodes[0].settings.Callers.String())
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := fmt.Fprint(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ")
	assert.NilError(t, err)
	_, err = io.ReadAll(conn)
	assert.NilError(t, err, "the host must close the connection")
	assert.Equal(t, c.nodes[0].chat(keyOf("alpha"), "hello", 2, false).status, http.StatusOK)
}

func TestBadRequests(t *testing.T) {
	s := oneHost
	s.editSettings = func(s *wharfsettings.Settings) { s.Limits.MaxBodyBytes = 1000 }
	c := newCluster(t, s)
	tests := []struct {
		name, path, body, code string
		status                 int
	}{
		{"malformed JSON", "/v1/chat/completions", "{", "bad-input", http.StatusBadRequest},
		{"no model", "/v1/chat/completions", `{"messages":[]}`, "bad-input", http.StatusBadRequest},
		{"unknown model", "/v1/chat/completions", `{"model":"x","messages":[]}`, "model-not-found", http.StatusNotFound},
		{"too large", "/v1/chat/completions", strings.Repeat("x", 2000), "too-large", http.StatusRequestEntityTooLarge},
		{"unknown path", "/v2/chat", "", "unknown-path", http.StatusNotFound},
		{"unknown service", "/services/x/y", "", "unknown-route", http.StatusNotFound},
		{"unknown file", "/v1/batches", `{"input_file_id":"x","endpoint":"/v1/completions","completion_window":"24h"}`, "not-found", http.StatusNotFound},
		{"bad window", "/v1/batches", `{"input_file_id":"x","endpoint":"/v1/completions","completion_window":"soon"}`, "bad-input", http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := c.nodes[0].send(http.MethodPost, test.path, keyOf("alpha"), nil, test.body)
			assert.Equal(t, r.status, test.status, r.body)
			assert.Equal(t, r.code, test.code)
			assert.Equal(t, r.runState, "not-run")
		})
	}
}

func TestNonRepeatableRequestsRunAtMostOnce(t *testing.T) {
	s := twoZones
	s.editSettings = shortTimeouts
	c := newCluster(t, s)
	var mu sync.Mutex
	refusedNotRun := map[string]bool{}
	tries := map[string][]string{} // status, code and run state of each, for the failure's message
	answered := map[string]bool{}
	var clients sync.WaitGroup
	for number := range 24 {
		body := fmt.Sprintf("entry-%d", number)
		clients.Go(func() {
			header := http.Header{"Idempotency-Key": {body}}
			for try := range 4 {
				r := c.nodes[(number+try)%len(c.nodes)].send(http.MethodPost, "/services/ledger/entries", keyOf("alpha"), header, body)
				mu.Lock()
				answered[body] = answered[body] || r.status == http.StatusOK
				refusedNotRun[body] = r.status != http.StatusOK && r.runState == "not-run"
				tries[body] = append(tries[body], fmt.Sprint(r.status, " ", r.code, " ", r.runState))
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	c.service.SetFaults(wharfhttpservice.Faults{SilentBefore: 3, SilentAfter: 3, DisconnectAfter: 3, Refusals: 2, DelayMillis: 30})
	c.platform.SetFaults(wharfplatform.Faults{ReplyLossRate: 0.1})
	time.Sleep(100 * time.Millisecond)
	c.nodes[2].kill()
	clients.Wait()
	ran := 0
	for number := range 24 {
		body := fmt.Sprintf("entry-%d", number)
		runs := c.service.Runs(body)
		ran += runs
		assert.Assert(t, runs <= 1, "%s ran %d times", body, runs)
		if refusedNotRun[body] && !answered[body] {
			assert.Equal(t, runs, 0, "%s ran although its last refusal said not-run: %q", body, tries[body])
		}
	}
	assert.Assert(t, ran > 0)
}

func TestNotRunStateIsAccurate(t *testing.T) {
	s := oneHost
	c := newCluster(t, s)
	c.service.SetFaults(wharfhttpservice.Faults{SilentBefore: 2, SilentAfter: 2, DisconnectAfter: 2})
	for i := range 12 {
		body := fmt.Sprintf("entry-%d", i)
		r := c.nodes[0].send(http.MethodPost, "/services/ledger/entries", keyOf("alpha"), nil, body)
		runs := c.service.Runs(body)
		switch {
		case r.status == http.StatusOK:
			assert.Equal(t, runs, 1)
		case r.runState == "not-run":
			assert.Equal(t, runs, 0)
		default:
			assert.Equal(t, r.runState, "unknown")
			assert.Assert(t, runs <= 1)
		}
	}
}

// maxPoisonCrashes is the bound documented in docs/design/poison.md.
const maxPoisonCrashes = 3

func TestPoisonRequestCrashesAreBounded(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a", "b"}, daemons: 2, engines: 3, slots: 16, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	var unaffected sync.WaitGroup
	stop := make(chan struct{})
	failed := 0
	for range 4 {
		unaffected.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if r := c.nodes[i%4].chat(keyOf("beta"), fmt.Sprint("innocent ", i), 8, false); r.status != http.StatusOK {
					failed++
				}
			}
		})
	}
	for i := range 12 {
		start := time.Now()
		r := c.nodes[i%4].chat(keyOf("alpha"), wharfmodel.CrashPrompt, 4, false)
		assert.Assert(t, r.status != http.StatusOK)
		if i > 3 {
			assert.Equal(t, r.code, "crashes-endpoints")
			assert.Assert(t, time.Since(start) < time.Second, "the refusal must be immediate")
		}
		time.Sleep(100 * time.Millisecond)
	}
	file := c.nodes[0].upload(keyOf("alpha"), fmt.Sprintf(
		`{"custom_id":"x","method":"POST","url":"/v1/chat/completions","body":%s}`, chatBody(wharfmodel.CrashPrompt, 4, false),
	), "")
	job := c.nodes[0].submit(keyOf("alpha"), file.id(), "poison")
	c.eventually(10*time.Second, func() bool {
		b, _ := c.nodes[0].job(keyOf("alpha"), job.id())
		return b.Status == "completed" && b.Counts.Failed == 1
	})
	close(stop)
	unaffected.Wait()
	crashes := int64(0)
	for _, e := range c.engines {
		crashes += e.Load().Crashes
	}
	assert.Assert(t, crashes <= maxPoisonCrashes, "%d endpoint crashes", crashes)
	t.Logf("%d crashes, %d unrelated requests failed", crashes, failed)
}

// TestResendDuringAnOutageIsNotCalledNotRun guards against "not run" for a request that has run under its idempotency key.
func TestResendDuringAnOutageIsNotCalledNotRun(t *testing.T) {
	s := oneHost
	s.editSettings = shortTimeouts
	c := newCluster(t, s)
	c.service.SetFaults(wharfhttpservice.Faults{DisconnectAfter: 1})
	send := func() reply {
		return c.nodes[0].send(http.MethodPost, "/services/ledger/entries", keyOf("alpha"),
			http.Header{"Idempotency-Key": {"k"}}, "entry")
	}
	assert.Equal(t, send().runState, "unknown")
	assert.Equal(t, c.service.Runs("entry"), 1)
	c.platform.SetFaults(wharfplatform.Faults{Down: true})
	r := send()
	assert.Equal(t, r.code, "platform-unavailable")
	assert.Equal(t, r.runState, "unknown")
}

// TestItemUnderWhichAnEndpointBrokeOffIsRunAgain guards against a sound item that is given up after a burst of crashes.
func TestItemUnderWhichAnEndpointBrokeOffIsRunAgain(t *testing.T) {
	s := oneHost
	s.engines = 1
	c := newCluster(t, s)
	c.engines[0].SetFaults(wharfmodel.Faults{Disconnects: 4})
	file := c.nodes[0].upload(keyOf("alpha"), fmt.Sprintf(
		`{"custom_id":"x","method":"POST","url":"/v1/chat/completions","body":%s}`, chatBody("sound", 4, false),
	), "")
	job := c.nodes[0].submit(keyOf("alpha"), file.id(), "sound")
	c.eventually(20*time.Second, func() bool {
		b, _ := c.nodes[0].job(keyOf("alpha"), job.id())
		return b.Status == "completed" && b.Counts.Completed == 1
	})
}

package wharfdaemon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"mime/multipart"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf-standin/wharfmodel"
	"wagtailwharf.example/wharf-standin/wharfplatform"
	"wagtailwharf.example/wharf-standin/wharftokens"
)

// batch is the JSON representation of a batch job.
type batch struct {
	ID           string  `json:"id"`
	Status       string  `json:"status"`
	OutputFileID *string `json:"output_file_id"`
	ErrorFileID  *string `json:"error_file_id"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// itemLines returns a JSON Lines input file of chat requests.
func itemLines(name string, count, tokens int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n",
			name, i, chatBody(fmt.Sprintf("%s item %d", name, i), tokens, false))
	}
	return lines.String()
}

func (n *node) upload(key, lines, idempotencyKey string) reply {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	_ = writer.WriteField("purpose", "batch")
	part, _ := writer.CreateFormFile("file", "items.jsonl")
	_, _ = part.Write([]byte(lines))
	_ = writer.Close()
	header := http.Header{"Content-Type": {writer.FormDataContentType()}}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	return n.send(http.MethodPost, "/v1/files", key, header, form.String())
}

func (r *reply) id() string {
	var object struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal([]byte(r.body), &object)
	return object.ID
}

func (n *node) submit(key, file, idempotencyKey string) reply {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file)
	return n.send(http.MethodPost, "/v1/batches", key, http.Header{"Idempotency-Key": {idempotencyKey}}, body)
}

func (n *node) job(key, id string) (batch, reply) {
	var b batch
	r := n.send(http.MethodGet, "/v1/batches/"+id, key, nil, "")
	if r.status == http.StatusOK {
		_ = json.Unmarshal([]byte(r.body), &b)
	}
	return b, r
}

// lines downloads a result file and returns its response texts by custom ID.
func (n *node) lines(t testing.TB, key, file string) map[string][]string {
	t.Helper()
	r := n.send(http.MethodGet, "/v1/files/"+file+"/content", key, nil, "")
	assert.Equal(t, r.status, http.StatusOK, r.body)
	lines := map[string][]string{}
	for line := range strings.Lines(r.body) {
		var parsed struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body struct {
					Choices []struct {
						Message struct {
							Content string `json:"content"`
						} `json:"message"`
					} `json:"choices"`
				} `json:"body"`
			} `json:"response"`
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &parsed))
		text := ""
		if choices := parsed.Response.Body.Choices; len(choices) > 0 {
			text = choices[0].Message.Content
		}
		lines[parsed.CustomID] = append(lines[parsed.CustomID], text)
	}
	return lines
}

// checkResults checks that the output file has exactly one correct result for each of count items.
func (c *cluster) checkResults(n *node, key, name string, b batch, count, tokens int) {
	c.t.Helper()
	assert.Assert(c.t, b.OutputFileID != nil)
	results := n.lines(c.t, key, *b.OutputFileID)
	assert.Equal(c.t, len(results), count)
	for i := range count {
		texts := results[fmt.Sprintf("%s-%d", name, i)]
		assert.Equal(c.t, len(texts), 1, "item %d", i)
		assert.Equal(c.t, texts[0], wharftokens.TextFor(fmt.Sprintf("%s item %d", name, i)).FirstTokens(tokens))
	}
}

func TestJobSurvivesKillsAndLostReplies(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a", "b"}, daemons: 2, engines: 2, slots: 8, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	const count, tokens = 300, 10
	key := keyOf("alpha")
	file := c.nodes[0].upload(key, itemLines("job", count, tokens), "")
	assert.Equal(t, file.status, http.StatusOK, file.body)
	c.platform.SetFaults(wharfplatform.Faults{ReplyLossRate: 0.1, SlowMillis: 2})
	var job reply
	c.eventually(readyTimeout, func() bool {
		job = c.nodes[0].submit(key, file.id(), "key")
		return job.status == http.StatusOK
	})
	for round := range 4 {
		time.Sleep(300 * time.Millisecond)
		victim := round % len(c.nodes)
		c.nodes[victim].kill()
		time.Sleep(200 * time.Millisecond)
		c.nodes[victim] = c.run(c.nodes[victim].settings)
	}
	var finished batch
	c.eventually(60*time.Second, func() bool {
		finished, _ = c.nodes[1].job(key, job.id())
		return finished.Status == "completed"
	})
	c.platform.SetFaults(wharfplatform.Faults{})
	assert.Equal(t, finished.Counts.Completed, count)
	c.awaitReady() // the last host to be restarted may not have joined yet
	c.checkResults(c.nodes[3], key, "job", finished, count, tokens)
}

func TestJobRunsThroughAnOutage(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a"}, daemons: 2, engines: 2, slots: 4, tokenTime: 2 * time.Millisecond, rate: 1000, burst: 1000,
	})
	const count, tokens = 200, 10
	key := keyOf("alpha")
	file := c.nodes[0].upload(key, itemLines("job", count, tokens), "")
	job := c.nodes[0].submit(key, file.id(), "key")
	time.Sleep(300 * time.Millisecond)
	c.platform.SetFaults(wharfplatform.Faults{Down: true})
	r := c.nodes[0].submit(key, file.id(), "another")
	assert.Equal(t, r.code, "platform-unavailable")
	assert.Equal(t, r.runState, "not-run")
	time.Sleep(3 * leaseTerm)
	c.platform.SetFaults(wharfplatform.Faults{})
	var finished batch
	c.eventually(60*time.Second, func() bool {
		finished, _ = c.nodes[1].job(key, job.id())
		return finished.Status == "completed"
	})
	c.checkResults(c.nodes[0], key, "job", finished, count, tokens)
}

func TestPermanentlyFailingItemGoesToErrorFile(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a"}, daemons: 1, engines: 2, slots: 8, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	key := keyOf("alpha")
	lines := itemLines("job", 20, 4) + fmt.Sprintf(
		`{"custom_id":"never","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", chatBody(wharfmodel.FailPrompt, 4, false))
	file := c.nodes[0].upload(key, lines, "")
	job := c.nodes[0].submit(key, file.id(), "key")
	var finished batch
	c.eventually(30*time.Second, func() bool {
		finished, _ = c.nodes[0].job(key, job.id())
		return finished.Status == "completed"
	})
	assert.Equal(t, finished.Counts.Completed, 20)
	assert.Equal(t, finished.Counts.Failed, 1)
	failed := c.nodes[0].lines(t, key, *finished.ErrorFileID)
	assert.Equal(t, len(failed["never"]), 1)
}

func TestCancelledJobStops(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a", "b"}, daemons: 2, engines: 1, slots: 8, tokenTime: 10 * time.Millisecond, rate: 1000, burst: 1000,
	})
	key := keyOf("alpha")
	file := c.nodes[0].upload(key, itemLines("job", 400, 50), "")
	job := c.nodes[0].submit(key, file.id(), "key")
	c.eventually(10*time.Second, func() bool { return c.engineRunning() > 0 })
	r := c.nodes[1].send(http.MethodPost, "/v1/batches/"+job.id()+"/cancel", key, nil, "")
	assert.Equal(t, r.status, http.StatusOK, r.body)
	cancelled, _ := c.nodes[0].job(key, job.id())
	assert.Equal(t, cancelled.Status, "cancelled")
	c.eventually(2*time.Second, func() bool { return c.engineRunning() == 0 })
	time.Sleep(3 * time.Second)
	assert.Equal(t, c.engineRunning(), 0)
	later, _ := c.nodes[2].job(key, job.id())
	assert.Equal(t, later.Counts.Completed, cancelled.Counts.Completed)
	assert.Equal(t, later.Status, "cancelled")
	again := c.nodes[3].submit(key, file.id(), "key")
	assert.Equal(t, again.id(), job.id(), "a late resend must not restart a cancelled job")
}

func TestNoItemCompletesAfterCancelMissedByPeers(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a", "b"}, daemons: 1, engines: 1, slots: 8, tokenTime: 10 * time.Millisecond, rate: 1000, burst: 1000,
	})
	key := keyOf("alpha")
	file := c.nodes[0].upload(key, itemLines("job", 400, 50), "")
	job := c.nodes[0].submit(key, file.id(), "key")
	c.eventually(10*time.Second, func() bool { return c.engines[1].Load().Running > 0 })
	c.setPartition(betweenZones)
	r := c.nodes[0].send(http.MethodPost, "/v1/batches/"+job.id()+"/cancel", key, nil, "")
	assert.Equal(t, r.status, http.StatusOK, r.body)
	cancelled, _ := c.nodes[0].job(key, job.id())
	c.eventually(5*time.Second, func() bool { return c.engineRunning() == 0 })
	later, _ := c.nodes[0].job(key, job.id())
	assert.Equal(t, later.Counts.Completed, cancelled.Counts.Completed)
}

func TestConcurrentResendsCreateOneJob(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a", "b"}, daemons: 2, engines: 1, slots: 8, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	key := keyOf("alpha")
	file := c.nodes[0].upload(key, itemLines("job", 2, 2), "")
	c.platform.SetFaults(wharfplatform.Faults{SlowMillis: 5})
	for round := range 10 {
		ids := make([]string, 8)
		var clients sync.WaitGroup
		for i := range ids {
			clients.Go(func() {
				r := c.nodes[i%len(c.nodes)].submit(key, file.id(), fmt.Sprint("round ", round))
				ids[i] = r.id()
			})
		}
		clients.Wait()
		for _, id := range ids {
			assert.Equal(t, id, ids[0])
		}
	}
}

// engineRunning returns the number of requests that run on all engines.
func (c *cluster) engineRunning() int {
	running := 0
	for _, e := range c.engines {
		running += e.Load().Running
	}
	return running
}

func TestJobForAnUnknownModelIsRefused(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a"}, daemons: 1, engines: 1, slots: 8, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	lines := `{"custom_id":"x","method":"POST","url":"/v1/chat/completions","body":{"model":"other","messages":[]}}`
	file := c.nodes[0].upload(keyOf("alpha"), lines, "")
	r := c.nodes[0].submit(keyOf("alpha"), file.id(), "key")
	assert.Equal(t, r.code, "bad-input")
	assert.Equal(t, r.runState, "not-run")
}

func TestBadInputIsRefusedWithItsLine(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a"}, daemons: 1, engines: 1, slots: 8, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	good := itemLines("job", 2, 4)
	tests := []struct {
		name, lines, want string
	}{
		{"malformed JSON", good + "{\n", "line 3"},
		{"custom id twice", good + strings.SplitN(good, "\n", 2)[0], "line 3"},
		{"no method", good + `{"custom_id":"x","url":"/v1/chat/completions","body":{"model":"model"}}`, "line 3"},
		{"other model", good + `{"custom_id":"x","method":"POST","url":"/v1/chat/completions","body":{"model":"other"}}`, "line 3"},
		{"empty", "\n", "0 items"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := c.nodes[0].upload(keyOf("alpha"), test.lines, "")
			assert.Equal(t, r.status, http.StatusBadRequest)
			assert.Assert(t, strings.Contains(r.body, test.want), r.body)
		})
	}
}

// jobInput is an operation on the job of one idempotency key.
type jobInput struct {
	action string
}

// jobOutput is the outcome of an operation. If known is false, the operation may or may not have taken effect.
type jobOutput struct {
	known  bool
	id     string
	status string
}

// jobState is the state of jobModel.
type jobState struct {
	id     string
	status string
}

// jobModel specifies a job as a sequential object: its ID never changes, and a final status is never left.
var jobModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{jobState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(jobState), input.(jobInput), output.(jobOutput)
		after := s.after(in.action, out)
		if !out.known {
			return append(after, s)
		}
		return after
	},
	Equal: func(a, b any) bool { return a == b },
}

// after returns the possible states after an operation.
func (s jobState) after(action string, out jobOutput) []any {
	switch action {
	case "submit":
		return s.afterSubmit(out)
	case "cancel":
		return s.afterCancel(out)
	}
	return s.afterRead(out)
}

func (s jobState) afterSubmit(out jobOutput) []any {
	if s.id == "" {
		return []any{jobState{id: out.id, status: "in_progress"}}
	}
	if !out.known || out.id == s.id {
		return []any{s}
	}
	return nil
}

// afterCancel ends a running job: either the cancel takes effect, or the job completed just before it.
func (s jobState) afterCancel(out jobOutput) []any {
	ends := []string{s.status}
	if s.status == "in_progress" {
		ends = []string{"cancelled", "completed"}
	}
	var next []any
	for _, status := range ends {
		if !out.known || out.status == status {
			next = append(next, jobState{id: s.id, status: status})
		}
	}
	return next
}

func (s jobState) afterRead(out jobOutput) []any {
	if !out.known || out.status == s.status {
		return []any{s}
	}
	if s.status == "in_progress" && out.status == "completed" {
		return []any{jobState{id: s.id, status: out.status}}
	}
	return nil
}

// history records the operations on jobs by idempotency key, for the linearizability check.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations map[string][]porcupine.Operation
	ids        map[string]string
}

// run performs and records an operation. Reads without a known outcome are not recorded; other operations without one
// are recorded as returning much later, because they may still take effect.
func (h *history) run(client int, key, action string, call func() jobOutput) {
	called := time.Since(h.start)
	out := call()
	returned := time.Since(h.start)
	if !out.known {
		if action == "read" {
			return
		}
		returned = time.Hour
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if out.known && out.id != "" {
		h.ids[key] = out.id
	}
	h.operations[key] = append(h.operations[key], porcupine.Operation{
		ClientId: client, Input: jobInput{action: action}, Output: out, Call: int64(called), Return: int64(returned),
	})
}

func (h *history) id(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ids[key]
}

func outputOf(r reply, status string) jobOutput {
	return jobOutput{known: r.status == http.StatusOK, id: r.id(), status: status}
}

func TestJobHistoriesAreLinearizable(t *testing.T) {
	c := newCluster(t, clusterOptions{
		zones: []string{"a", "b"}, daemons: 2, engines: 1, slots: 16, tokenTime: time.Millisecond, rate: 1000, burst: 1000,
	})
	key := keyOf("alpha")
	file := c.nodes[0].upload(key, itemLines("job", 24, 4), "")
	assert.Equal(t, file.status, http.StatusOK)
	h := &history{start: time.Now(), operations: map[string][]porcupine.Operation{}, ids: map[string]string{}}
	c.platform.SetFaults(wharfplatform.Faults{ReplyLossRate: 0.15, SlowMillis: 3})
	var nodes sync.RWMutex
	var clients sync.WaitGroup
	for number := range 6 {
		clients.Go(func() { c.jobClient(h, &nodes, number, key, file.id()) })
	}
	stop := make(chan struct{})
	var killer sync.WaitGroup
	killer.Go(func() { c.killPeriodically(&nodes, stop) })
	clients.Wait()
	close(stop)
	killer.Wait()
	c.platform.SetFaults(wharfplatform.Faults{})
	for name, operations := range h.operations {
		result := porcupine.CheckOperationsTimeout(jobModel.ToModel(), operations, 20*time.Second)
		assert.Equal(t, result, porcupine.Ok, "%s: %+v", name, operations)
	}
}

// jobClient submits, cancels and reads random jobs for 8 s.
func (c *cluster) jobClient(h *history, nodes *sync.RWMutex, number int, key, file string) {
	random := rand.New(rand.NewPCG(20261204, uint64(number)))
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
		name := fmt.Sprintf("job-%d", random.IntN(12))
		nodes.RLock()
		n := c.nodes[random.IntN(len(c.nodes))]
		nodes.RUnlock()
		id := h.id(name)
		switch action := random.IntN(8); {
		case id == "" || action < 3:
			h.run(number, name, "submit", func() jobOutput {
				r := n.submit(key, file, name)
				return outputOf(r, "")
			})
		case action == 3:
			h.run(number, name, "cancel", func() jobOutput {
				r := n.send(http.MethodPost, "/v1/batches/"+id+"/cancel", key, nil, "")
				var b batch
				_ = json.Unmarshal([]byte(r.body), &b)
				return outputOf(r, b.Status)
			})
		default:
			h.run(number, name, "read", func() jobOutput {
				b, r := n.job(key, id)
				return outputOf(r, b.Status)
			})
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// killPeriodically kills and restarts one daemon after the other, every 1.5 s, until stop is closed.
func (c *cluster) killPeriodically(nodes *sync.RWMutex, stop chan struct{}) {
	for victim := 0; ; victim++ {
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
		i := victim % len(c.nodes)
		nodes.RLock()
		n := c.nodes[i]
		nodes.RUnlock()
		n.kill()
		restarted := c.run(n.settings)
		nodes.Lock()
		c.nodes[i] = restarted
		nodes.Unlock()
	}
}

package wharfmodel

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"wagtailwharf.example/wharf-standin/wharftokens"
)

const (
	// CrashPrompt crashes every engine that receives a prompt containing it.
	CrashPrompt = "crash-this-engine"
	// FailPrompt makes every engine reject a prompt containing it with status 422.
	FailPrompt = "never-completes"

	requestIDHeader     = "X-Request-Id"
	defaultTokens       = 16
	maxBodyBytes        = 4 << 20
	maxRecordedRequests = 20000
	bytesPerToken       = 5
)

// Options configures the timing and capacity of a simulated engine.
type Options struct {
	TokenTime        time.Duration // interval between tokens of a request that runs alone
	Slots            int           // number of concurrent requests at which the token interval doubles
	PrefillTokenTime time.Duration // prefill time for each prompt token that is not cached
	CacheEntries     int           // maximum number of cached prompt prefixes
	LoadReportDelay  time.Duration // staleness of the running count in GET /load
	RestartTime      time.Duration // downtime after a crash
	CheckFences      bool          // reject orders whose fencing number is lower than the current one
}

// Engine is an HTTP handler that simulates one model engine.
type Engine struct {
	options     Options
	mux         *http.ServeMux
	mu          sync.Mutex
	running     map[string]chan struct{}
	cache       *prefixCache
	loadSamples []loadSample
	faults      Faults
	order       Order
	downUntil   time.Time
	crashes     int64
	peak        int
	total       int64
	tokens      map[string]int64
	requests    []string
}

// Faults holds the faults that an engine injects. Each counter applies to that many of the following responses.
type Faults struct {
	MismatchedIDs     int  `json:"cross"`      // responses that carry another request's ID in header and body
	MismatchedBodyIDs int  `json:"cross-body"` // responses that carry another request's ID in the body only
	Disconnects       int  `json:"cut"`        // responses whose connection closes halfway
	Truncations       int  `json:"end"`        // responses that end halfway without a connection error
	Hangs             int  `json:"hang"`       // responses that are never sent
	Silent            bool `json:"silent"`     // whether all responses, also those in flight, stall
}

// Order is an instruction to run a model version. Accepted counts the orders accepted so far.
type Order struct {
	ModelVersion string `json:"model-version"`
	Fence        uint64 `json:"fence"`
	Accepted     int64  `json:"taken"`
}

// Load is a report of the engine's load.
type Load struct {
	Running int              `json:"running"`
	Total   int64            `json:"total"`
	Crashes int64            `json:"crashes"`
	Peak    int              `json:"peak"`
	Tokens  map[string]int64 `json:"tokens"` // generated tokens by the first word of the prompt
}

type loadSample struct {
	at      time.Time
	running int
}

// New returns an idle engine with an empty cache.
func New(options Options) *Engine {
	e := &Engine{
		options: options,
		mux:     http.NewServeMux(),
		running: map[string]chan struct{}{},
		tokens:  map[string]int64{},
		cache:   newPrefixCache(options.CacheEntries),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.generate)
	e.mux.HandleFunc("POST /v1/completions", e.generate)
	e.mux.HandleFunc("GET /load", e.getLoad)
	e.mux.HandleFunc("POST /orders", e.postOrder)
	e.mux.HandleFunc("GET /orders", e.getOrder)
	e.mux.HandleFunc("GET /cache-events", e.getCacheEvents)
	e.mux.HandleFunc("PUT /control", e.putFaults)
	e.mux.HandleFunc("GET /seen", e.getSeen)
	return e
}

// ServeHTTP serves the engine's API and fault injection. While the engine is down after a crash, it aborts all
// connections except those to /control and /seen.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isDown() && r.URL.Path != "/control" && r.URL.Path != "/seen" {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults to inject.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Load returns the current load, without the load report delay.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadReport(len(e.running))
}

// loadReport returns a report with the given number of running requests. The caller must hold e.mu.
func (e *Engine) loadReport(running int) Load {
	return Load{Running: running, Total: e.total, Crashes: e.crashes, Peak: e.peak, Tokens: maps.Clone(e.tokens)}
}

// countToken counts one token generated for a prompt that begins with firstWord.
func (e *Engine) countToken(firstWord string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens[firstWord]++
}

// Order returns the last accepted order.
func (e *Engine) Order() Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.order
}

// CountRequestsContaining returns how many of the first 20000 requests contain text in their headers, URL or body.
func (e *Engine) CountRequestsContaining(text string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, request := range e.requests {
		if strings.Contains(request, text) {
			count++
		}
	}
	return count
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

type request struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens    int  `json:"max_tokens"`
	Stream       bool `json:"stream"`
	ContinueFrom int  `json:"continue_from"`
}

func (r *request) text() string {
	var text strings.Builder
	text.WriteString(r.Prompt)
	for _, m := range r.Messages {
		text.WriteString(m.Content)
	}
	return text.String()
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var parsed request
	if err := json.Unmarshal(body, &parsed); err != nil {
		http.Error(w, `{"error":{"message":"malformed JSON"}}`, http.StatusBadRequest)
		return
	}
	if parsed.MaxTokens <= 0 {
		parsed.MaxTokens = defaultTokens
	}
	id := r.Header.Get(requestIDHeader)
	e.recordRequest(r, body)
	prompt := parsed.text()
	if strings.Contains(prompt, FailPrompt) {
		http.Error(w, `{"error":{"message":"prompt can not be answered","code":"unanswerable"}}`,
			http.StatusUnprocessableEntity)
		return
	}
	crashed := e.startRequest(id)
	defer e.finishRequest(id)
	if strings.Contains(prompt, CrashPrompt) {
		time.Sleep(e.options.TokenTime)
		e.crash()
	}
	firstWord, _, _ := strings.Cut(prompt, " ")
	g := &generation{
		engine: e, firstWord: firstWord, writer: w, crashed: crashed, request: r, parsed: &parsed, id: id,
		text: wharftokens.TextFor(prompt),
	}
	g.applyFaults()
	g.prefill(prompt)
	if parsed.Stream {
		g.writeStream()
		return
	}
	g.writeComplete()
}

// recordRequest stores the request for CountRequestsContaining, up to maxRecordedRequests.
func (e *Engine) recordRequest(r *http.Request, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.requests) >= maxRecordedRequests {
		return
	}
	e.requests = append(e.requests, fmt.Sprint(r.Header, r.URL.String(), string(body)))
}

// startRequest registers a running request and returns a channel that is closed if the engine crashes.
func (e *Engine) startRequest(id string) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	crashed := make(chan struct{})
	e.running[id] = crashed
	e.total++
	e.peak = max(e.peak, len(e.running))
	e.sampleLoad()
	return crashed
}

func (e *Engine) finishRequest(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.sampleLoad()
}

// sampleLoad records the number of running requests for delayed load reports. The caller must hold e.mu.
func (e *Engine) sampleLoad() {
	now := time.Now()
	e.loadSamples = append(e.loadSamples, loadSample{at: now, running: len(e.running)})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) > e.options.LoadReportDelay {
		e.loadSamples = e.loadSamples[1:]
	}
}

// crash aborts all running requests, clears the prompt cache and takes the engine down for the restart time.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	e.downUntil = time.Now().Add(e.options.RestartTime)
	for id, crashed := range e.running {
		close(crashed)
		delete(e.running, id)
	}
	e.cache = newPrefixCache(e.options.CacheEntries)
}

// tokenInterval returns the current time between tokens, which grows with the square of the number of running requests.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := float64(len(e.running)) / float64(max(1, e.options.Slots))
	return time.Duration(float64(e.options.TokenTime) * (1 + share*share))
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	cutoff := time.Now().Add(-e.options.LoadReportDelay)
	running := 0
	for _, sample := range e.loadSamples {
		if !sample.at.After(cutoff) {
			running = sample.running
		}
	}
	report := e.loadReport(running)
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.CheckFences && order.Fence < e.order.Fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	order.Accepted = e.order.Accepted + 1
	e.order = order
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getOrder(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Order())
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.takeEvents())
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getSeen(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, map[string]int{"count": e.CountRequestsContaining(r.URL.Query().Get("text"))})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

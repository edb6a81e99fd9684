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
	// CrashPrompt is the text that crashes every engine that runs a prompt holding it.
	CrashPrompt = "crash-this-engine"
	// FailPrompt is the text of a prompt that every engine refuses.
	FailPrompt = "never-completes"

	requestIDHeader = "X-Request-Id"
	defaultTokens   = 16
	maxBodyBytes    = 4 << 20
	maxSeen         = 20000
	wordBytes       = 5
)

// Options are the timing and size of an engine stand-in.
type Options struct {
	TokenTime        time.Duration // between tokens when alone
	Slots            int           // requests at which the token time has doubled
	PrefillTokenTime time.Duration // per prompt token that is not cached
	CacheEntries     int           // prompt prefixes held
	LoadReportDelay  time.Duration // age of load reports
	RestartTime      time.Duration // closed after a crash
	CheckFences      bool          // refuses orders with an old fencing number
}

// Engine is an HTTP handler that stands in for one model engine.
type Engine struct {
	options Options
	mux     *http.ServeMux
	mu      sync.Mutex
	running map[string]chan struct{}
	cache   *prefixCache
	loads   []load
	control Faults
	order   Order
	down    time.Time
	crashed int64
	peak    int
	total   int64
	tokens  map[string]int64
	seen    []string
}

// Faults is the misbehaviour of an engine; counts apply to that many next answers.
type Faults struct {
	MismatchedIDs     int  `json:"cross"`      // answers with another request's id
	MismatchedBodyIDs int  `json:"cross-body"` // answers whose body alone has another request's id
	Disconnects       int  `json:"cut"`        // answers whose connection breaks
	Truncations       int  `json:"end"`        // answers that end early, with their connection whole
	Hangs             int  `json:"hang"`       // answers that never come
	Silent            bool `json:"silent"`     // connections on which nothing comes any more
}

// Order is the last order that the engine took.
type Order struct {
	ModelVersion string `json:"model-version"`
	Fence        uint64 `json:"fence"`
	Accepted     int64  `json:"taken"`
}

// Load is a report of the engine's load, as old as the engine's load lag.
type Load struct {
	Running int              `json:"running"`
	Total   int64            `json:"total"`
	Crashes int64            `json:"crashes"`
	Peak    int              `json:"peak"`
	Tokens  map[string]int64 `json:"tokens"` // generated, by the first word of the prompt
}

type load struct {
	at      time.Time
	running int
}

// New returns an idle engine.
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
	e.mux.HandleFunc("PUT /control", e.putControl)
	e.mux.HandleFunc("GET /seen", e.getSeen)
	return e
}

// ServeHTTP serves the engine's interface and the control of its misbehaviour.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isDown() && r.URL.Path != "/control" && r.URL.Path != "/seen" {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the engine's misbehaviour.
func (e *Engine) SetFaults(control Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.control = control
}

// Load returns the present load.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report(len(e.running))
}

// report runs with the lock held.
func (e *Engine) report(running int) Load {
	return Load{Running: running, Total: e.total, Crashes: e.crashed, Peak: e.peak, Tokens: maps.Clone(e.tokens)}
}

// count counts one generated token.
func (e *Engine) count(word string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens[word]++
}

// Order returns the last order taken.
func (e *Engine) Order() Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.order
}

// CountRequestsContaining returns how many requests held text in their headers, query or body.
func (e *Engine) CountRequestsContaining(text string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, request := range e.seen {
		if strings.Contains(request, text) {
			count++
		}
	}
	return count
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.down)
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
	e.record(r, body)
	prompt := parsed.text()
	if strings.Contains(prompt, FailPrompt) {
		http.Error(w, `{"error":{"message":"prompt can not be answered","code":"unanswerable"}}`, http.StatusUnprocessableEntity)
		return
	}
	broken := e.start(id)
	defer e.finish(id)
	if strings.Contains(prompt, CrashPrompt) {
		time.Sleep(e.options.TokenTime)
		e.crash()
	}
	word, _, _ := strings.Cut(prompt, " ")
	a := &answer{engine: e, word: word, writer: w, broken: broken, request: r, parsed: &parsed, id: id, text: wharftokens.TextFor(prompt)}
	a.shape()
	a.prefill(prompt)
	if parsed.Stream {
		a.stream()
		return
	}
	a.whole()
}

func (e *Engine) record(r *http.Request, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.seen) >= maxSeen {
		return
	}
	e.seen = append(e.seen, fmt.Sprint(r.Header, r.URL.String(), string(body)))
}

func (e *Engine) start(id string) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	broken := make(chan struct{})
	e.running[id] = broken
	e.total++
	e.peak = max(e.peak, len(e.running))
	e.note()
	return broken
}

func (e *Engine) finish(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.note()
}

// note records the load for lagging reports; the caller holds the lock.
func (e *Engine) note() {
	now := time.Now()
	e.loads = append(e.loads, load{at: now, running: len(e.running)})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) > e.options.LoadReportDelay {
		e.loads = e.loads[1:]
	}
}

// crash breaks every running request and closes the engine until it has restarted.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed++
	e.down = time.Now().Add(e.options.RestartTime)
	for id, broken := range e.running {
		close(broken)
		delete(e.running, id)
	}
	e.cache = newPrefixCache(e.options.CacheEntries)
}

// interval is the present time between tokens, longer with more requests in the batch.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := float64(len(e.running)) / float64(max(1, e.options.Slots))
	return time.Duration(float64(e.options.TokenTime) * (1 + share*share))
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	visible := time.Now().Add(-e.options.LoadReportDelay)
	running := 0
	for _, l := range e.loads {
		if !l.at.After(visible) {
			running = l.running
		}
	}
	report := e.report(running)
	e.mu.Unlock()
	reply(w, report)
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
	reply(w, e.Order())
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, e.cache.events())
}

func (e *Engine) putControl(w http.ResponseWriter, r *http.Request) {
	var control Faults
	if err := json.NewDecoder(r.Body).Decode(&control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(control)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getSeen(w http.ResponseWriter, r *http.Request) {
	reply(w, map[string]int{"count": e.CountRequestsContaining(r.URL.Query().Get("text"))})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

package wharfhttpservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	requestIDHeader = "X-Request-Id"
	maxBodyBytes    = 1 << 20
)

// Service is an HTTP handler that counts how often it executed each request body.
type Service struct {
	mux    *http.ServeMux
	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

// Faults holds the faults that a service injects. Each counter except DelayMillis applies to that many of the
// following requests; DelayMillis delays the response of every executed request.
type Faults struct {
	DelayMillis     int `json:"delay-ms"`
	SilentBefore    int `json:"silent-before"`   // requests to leave unanswered without executing them
	SilentAfter     int `json:"silent-after"`    // requests to execute but leave unanswered
	DisconnectAfter int `json:"abort-after"`     // requests to execute, then close the connection without a response
	Refusals        int `json:"refuse-requests"` // requests to reject with status 503
}

// New returns a service with no executions recorded and no faults set.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), runs: map[string]int{}}
	s.mux.HandleFunc("GET /runs", s.getRuns)
	s.mux.HandleFunc("PUT /control", s.putFaults)
	s.mux.HandleFunc("/", s.run)
	return s
}

// ServeHTTP serves requests to the service, GET /runs and PUT /control.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults to inject.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns how often a request with this body was executed.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// consumeFault reports whether the selected fault counter is positive, and decrements it if so.
func (s *Service) consumeFault(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := counter(&s.faults)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.Refusals }) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.SilentBefore }) {
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	if s.consumeFault(func(f *Faults) *int { return &f.SilentAfter }) {
		<-r.Context().Done()
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.DisconnectAfter }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	_, _ = w.Write([]byte("ran:" + string(body)))
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

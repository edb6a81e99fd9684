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

// Service is an HTTP handler that counts the runs of each body it is sent.
type Service struct {
	mux     *http.ServeMux
	mu      sync.Mutex
	runs    map[string]int
	control Faults
}

// Faults is the misbehaviour of the service.
type Faults struct {
	DelayMillis     int `json:"delay-ms"`
	SilentBefore    int `json:"silent-before"`   // requests to swallow without running them
	SilentAfter     int `json:"silent-after"`    // requests to run without answering
	DisconnectAfter int `json:"abort-after"`     // requests to run and then cut off
	Refusals        int `json:"refuse-requests"` // requests to refuse with 503
}

// New returns a service that has run nothing.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), runs: map[string]int{}}
	s.mux.HandleFunc("GET /runs", s.getRuns)
	s.mux.HandleFunc("PUT /control", s.putControl)
	s.mux.HandleFunc("/", s.run)
	return s
}

// ServeHTTP serves the plain service.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the misbehaviour.
func (s *Service) SetFaults(control Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = control
}

// Runs returns how often a body was run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

func (s *Service) take(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := counter(&s.control)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if s.take(func(c *Faults) *int { return &c.Refusals }) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if s.take(func(c *Faults) *int { return &c.SilentBefore }) {
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	delay := time.Duration(s.control.DelayMillis) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	if s.take(func(c *Faults) *int { return &c.SilentAfter }) {
		<-r.Context().Done()
		return
	}
	if s.take(func(c *Faults) *int { return &c.DisconnectAfter }) {
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

func (s *Service) putControl(w http.ResponseWriter, r *http.Request) {
	var control Faults
	if err := json.NewDecoder(r.Body).Decode(&control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(control)
	w.WriteHeader(http.StatusNoContent)
}

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	// maxEntries and maxTransactionBytes are the platform's limits of one transaction, and maxObjectBytes that of an object.
	maxEntries          = 100
	maxTransactionBytes = 1 << 20
	maxObjectBytes      = 8 << 20
	// transactionTime, answerTime and objectTime are what calls take.
	transactionTime = 5 * time.Millisecond
	answerTime      = 4 * time.Millisecond
	objectTime      = 25 * time.Millisecond
)

// store is the project's stand-in of the platform's store, with the platform's limits of a transaction and its latencies.
type store struct {
	*wharfstandin.Store
	record *record
	mu     sync.Mutex
	down   bool // every call is answered 503 without effect
	tooBig int  // transactions that were refused because of their size
}

// setDown starts or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.record.note("store: down %v", down)
}

func (s *store) refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooBig
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.URL.Path == wire("transaction-path"):
		time.Sleep(transactionTime)
		if !s.admit(w, r) {
			return
		}
	case strings.HasPrefix(r.URL.Path, "/blob-"):
		time.Sleep(objectTime)
		if r.ContentLength > maxObjectBytes {
			s.record.note("store: refused an object of %d bytes", r.ContentLength)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	default:
		time.Sleep(answerTime)
	}
	s.Store.ServeHTTP(w, r)
}

// admit refuses a transaction of too many entries or bytes, which has no effect, and puts the body of others back.
func (s *store) admit(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	var lists map[string][]json.RawMessage // conditions, rows to write and rows to delete
	err = json.Unmarshal(body, &lists)
	entries := 0
	for _, list := range lists {
		entries += len(list)
	}
	if err == nil && entries <= maxEntries && len(body) <= maxTransactionBytes {
		r.Body = io.NopCloser(bytes.NewReader(body))
		return true
	}
	s.mu.Lock()
	s.tooBig++
	first := s.tooBig == 1
	s.mu.Unlock()
	if first {
		s.record.note("store: refused a transaction of %d entries and %d bytes (further ones are only counted)",
			entries, len(body))
	}
	w.WriteHeader(http.StatusBadRequest)
	return false
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

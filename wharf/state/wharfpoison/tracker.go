package wharfpoison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxCrashes  = 3
	memory      = 10 * time.Minute
	maxEntries  = 100_000
	sweepPeriod = time.Minute
)

// Tracker counts the endpoints that broke while they ran a request, by the request's fingerprint.
// It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	entries map[uint64]entry
	swept   time.Time
}

type entry struct {
	crashes int
	alone   bool
	at      time.Time
}

// New returns an empty ledger.
func New() *Tracker {
	return &Tracker{entries: map[uint64]entry{}}
}

// Fingerprint returns the fingerprint of a request's body for one organisation and service.
func Fingerprint(organisation, service string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(organisation)
	_, _ = digest.WriteString("\x00" + service + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Strike records that an endpoint broke under a request, and whether nothing else ran there; it returns the crashes so far.
func (l *Tracker) Strike(fingerprint uint64, alone bool, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	e := l.entries[fingerprint]
	e.crashes++
	e.alone = e.alone || alone
	e.at = now
	l.entries[fingerprint] = e
	return e.crashes
}

// Merge records what another daemon has counted; counts never fall by it.
func (l *Tracker) Merge(fingerprint uint64, crashes int, alone bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	e := l.entries[fingerprint]
	e.crashes = max(e.crashes, crashes)
	e.alone = e.alone || alone
	e.at = now
	l.entries[fingerprint] = e
}

// Suspect reports whether an endpoint has broken under the request.
func (l *Tracker) Suspect(fingerprint uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[fingerprint]
	return ok && now.Sub(e.at) < memory
}

// Blocked reports whether the request is refused from now on: it broke an endpoint alone after
// an earlier crash, or three in company.
func (l *Tracker) Blocked(fingerprint uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[fingerprint]
	if !ok || now.Sub(e.at) >= memory {
		return false
	}
	return e.crashes >= maxCrashes || (e.alone && e.crashes >= 2)
}

// Clear forgets a request that an endpoint has answered.
func (l *Tracker) Clear(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, fingerprint)
}

func (l *Tracker) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepPeriod && len(l.entries) < maxEntries {
		return
	}
	l.swept = now
	for fingerprint, e := range l.entries {
		if now.Sub(e.at) >= memory {
			delete(l.entries, fingerprint)
		}
	}
}

package wharfpoison

import (
	"sync"
	"time"

	"wagtailwharf.example/wharf/state/wharfkey"
)

const (
	// maxCrashes is the number of crashes from which a request is blocked, even if other requests ran on each endpoint.
	maxCrashes = 3
	// entryTTL is how long an entry is kept after its last crash.
	entryTTL = 10 * time.Minute
	// maxEntries is the number of entries from which every call removes expired ones.
	maxEntries  = 100_000
	sweepPeriod = time.Minute
)

// Tracker counts endpoint crashes by the fingerprint of the request that the endpoint was running. It is safe for
// concurrent use.
type Tracker struct {
	mu        sync.Mutex
	entries   map[uint64]entry
	lastSweep time.Time
}

// entry counts the crashes under one request.
type entry struct {
	crashes int
	alone   bool      // at least one endpoint crashed while it ran only this request
	at      time.Time // of the last crash
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{entries: map[uint64]entry{}}
}

// Fingerprint returns a hash of a request's organisation, service and body.
func Fingerprint(organisation, service string, body []byte) uint64 {
	return wharfkey.Sum64(body, organisation, service)
}

// RecordCrash records that an endpoint crashed while it ran a request, and whether the request ran there alone. It
// returns the number of crashes so far.
func (t *Tracker) RecordCrash(fingerprint uint64, alone bool, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	e := t.entries[fingerprint]
	e.crashes++
	e.alone = e.alone || alone
	e.at = now
	t.entries[fingerprint] = e
	return e.crashes
}

// Merge merges the crash count of another daemon by taking the maximum.
func (t *Tracker) Merge(fingerprint uint64, crashes int, alone bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	e := t.entries[fingerprint]
	e.crashes = max(e.crashes, crashes)
	e.alone = e.alone || alone
	e.at = now
	t.entries[fingerprint] = e
}

// Suspect reports whether an endpoint has crashed while it ran the request, within entryTTL.
func (t *Tracker) Suspect(fingerprint uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	return ok && now.Sub(e.at) < entryTTL
}

// Blocked reports whether the request must be refused: three endpoints have crashed while they ran it, or two of which
// at least one ran nothing else.
func (t *Tracker) Blocked(fingerprint uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	if !ok || now.Sub(e.at) >= entryTTL {
		return false
	}
	return e.crashes >= maxCrashes || (e.alone && e.crashes >= 2)
}

// Clear removes the entry of a request, after an endpoint has answered it.
func (t *Tracker) Clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, fingerprint)
}

// sweep removes expired entries once per sweepPeriod, or on every call while there are maxEntries or more.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepPeriod && len(t.entries) < maxEntries {
		return
	}
	t.lastSweep = now
	for fingerprint, e := range t.entries {
		if now.Sub(e.at) >= entryTTL {
			delete(t.entries, fingerprint)
		}
	}
}

package wharfcrash

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// SettleTime is the time from the crash that suffices to block a part until it is blocked. Other requests that the crashed
// endpoints ran are reported in it, and may share a part that explains the crashes better.
const SettleTime = 200 * time.Millisecond

const (
	// crashesToBlock is the number of crashed endpoints from which an identity is blocked.
	crashesToBlock = 3
	// provenCrashesToBlock is that number for a part with which answers have begun before.
	provenCrashesToBlock = 5
	// minRequests is the number of different requests from which a part is blocked: a single one is blocked as a whole.
	minRequests = 2
	// entryTTL is how long an identity is remembered after its last crash or its last answer.
	entryTTL = 10 * time.Minute
	// firstTrialDelay is the time from the last crash until one request with a blocked identity is run again. It doubles
	// with each crash beyond crashesToBlock, up to maxTrialDoublings times.
	firstTrialDelay   = 15 * time.Second
	maxTrialDoublings = 6
	// otherHostsFactor lengthens the delay for hosts that do not make the trials of an identity: only a host that has missed
	// that the identity was cleared waits so long.
	otherHostsFactor = 4
	// maxEntries is the number of entries from which every call removes expired ones.
	maxEntries  = 20_000
	sweepPeriod = time.Minute
)

// Tracker counts crashed endpoints by the identities of the requests that they ran, and blocks the identity that explains
// them. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	suspects  map[Identity]*suspect
	proven    map[Identity]time.Time // when an answer last began, by part
	explained map[uint64]time.Time   // endpoints whose crash a blocked part explains
	lastSweep time.Time
}

// suspect is the evidence against an identity since an answer with it last began.
type suspect struct {
	endpoints map[uint64]bool // that have crashed
	requests  map[Identity]bool
	crashes   int // at least len(endpoints); more if other hosts have seen more
	depth     int // of a part in its prompt, from 1 on; 0 for a whole request
	proven    bool
	blocked   bool
	at        time.Time // of the last crash or trial
	guiltyAt  time.Time // when the crashes sufficed to block the identity; zero if they do not
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		suspects: map[Identity]*suspect{}, proven: map[Identity]time.Time{}, explained: map[uint64]time.Time{},
	}
}

// Proven returns the parts of a request with which answers have begun.
func (t *Tracker) Proven(r Request) []Identity {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.Parts), func(id Identity) bool { return t.proven[id].IsZero() })
}

// Record records a crash. It returns the largest number of crashes under one identity of the request, and the verdict on the
// whole request if there is one. Verdicts on parts follow from Settle, SettleTime later.
func (t *Tracker) Record(c Crash, now time.Time) (crashes int, verdicts []Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if t.strikeBlockedPart(c, now) || !t.explained[c.Endpoint].IsZero() {
		return 0, nil
	}
	for i, id := range c.Request.Parts {
		s := t.suspect(id)
		s.depth = max(s.depth, i+1)
		s.proven = s.proven || slices.Contains(c.Proven, id) || !t.proven[id].IsZero()
		s.strike(c, now)
		crashes = max(crashes, s.crashes)
	}
	whole := t.suspect(c.Request.Whole)
	whole.strike(c, now)
	if !whole.blocked && whole.guilty() {
		whole.blocked = true
		verdicts = append(verdicts, whole.verdict(c.Request.Whole))
	}
	return max(crashes, whole.crashes), verdicts
}

// Settle blocks the parts that explain the crashes, once those have sufficed to block one of them for SettleTime, and returns
// the verdicts. pending reports whether a part waits for that time to pass.
func (t *Tracker) Settle(now time.Time) (verdicts []Verdict, pending bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var guilty []Identity
	due := false
	for id, s := range t.suspects {
		if s.depth > 0 && !s.blocked && s.guilty() {
			guilty = append(guilty, id)
			due = due || now.Sub(s.guiltyAt) >= SettleTime
		}
	}
	if !due {
		return nil, len(guilty) > 0
	}
	slices.SortFunc(guilty, t.compareBreadth)
	for _, id := range guilty {
		s := t.suspects[id]
		if s == nil || !s.guilty() {
			continue // explained by the parts before it
		}
		s.blocked = true
		verdicts = append(verdicts, s.verdict(id))
		t.explain(id)
	}
	return verdicts, false
}

// compareBreadth orders parts from the most specific one on, which is in the fewest requests of crashed endpoints or, if they
// are as many, later in the prompt.
func (t *Tracker) compareBreadth(a, b Identity) int {
	first, second := t.suspects[a], t.suspects[b]
	return cmp.Or(
		cmp.Compare(len(first.requests), len(second.requests)), cmp.Compare(second.depth, first.depth),
		first.guiltyAt.Compare(second.guiltyAt), cmp.Compare(a, b),
	)
}

// strikeBlockedPart adds a crash to the parts of its request that are blocked already, and reports whether there are any.
func (t *Tracker) strikeBlockedPart(c Crash, now time.Time) (found bool) {
	for _, id := range c.Request.Parts {
		if t.isBlocked(id) {
			t.suspects[id].strike(c, now)
			t.explain(id)
			found = true
		}
	}
	return found
}

func (t *Tracker) isBlocked(id Identity) bool {
	s := t.suspects[id]
	return s != nil && s.blocked
}

func (t *Tracker) suspect(id Identity) *suspect {
	s := t.suspects[id]
	if s == nil {
		s = &suspect{endpoints: map[uint64]bool{}, requests: map[Identity]bool{}}
		t.suspects[id] = s
	}
	return s
}

func (s *suspect) strike(c Crash, now time.Time) {
	s.at = now
	s.requests[c.Request.Whole] = true
	if s.endpoints[c.Endpoint] {
		return
	}
	s.endpoints[c.Endpoint] = true
	s.crashes = max(s.crashes+1, len(s.endpoints))
	if s.guiltyAt.IsZero() && s.guilty() {
		s.guiltyAt = now
	}
}

// guilty reports whether the crashes suffice to block the identity.
func (s *suspect) guilty() bool {
	switch {
	case s.depth == 0:
		return s.crashes >= crashesToBlock
	case s.proven:
		return s.crashes >= provenCrashesToBlock && len(s.requests) >= minRequests
	}
	return s.crashes >= crashesToBlock && len(s.requests) >= minRequests
}

func (s *suspect) verdict(id Identity) Verdict {
	return Verdict{Identity: id, Crashes: s.crashes, At: s.at}
}

// explain takes the crashes under a blocked part off all other identities. A whole request explains nothing: it may only
// have been there, or share a part with others that crash endpoints.
func (t *Tracker) explain(blocked Identity) {
	b := t.suspects[blocked]
	for endpoint := range b.endpoints {
		t.explained[endpoint] = b.at
	}
	for id, s := range t.suspects {
		if s.blocked {
			continue
		}
		for endpoint := range b.endpoints {
			if s.endpoints[endpoint] {
				delete(s.endpoints, endpoint)
				s.crashes--
			}
		}
		if !s.guilty() {
			s.guiltyAt = time.Time{}
		}
		if s.crashes <= 0 {
			delete(t.suspects, id)
		}
	}
}

// Answered records that an endpoint has begun to answer a request, which clears all of its identities. It returns those
// that were suspected or blocked.
func (t *Tracker) Answered(r Request, now time.Time) (cleared []Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, id := range r.Parts {
		t.proven[id] = now
	}
	if len(t.suspects) == 0 {
		return nil
	}
	for _, id := range r.identities() {
		if t.suspects[id] != nil {
			delete(t.suspects, id)
			cleared = append(cleared, id)
		}
	}
	return cleared
}

// Clear removes identities that another host has cleared.
func (t *Tracker) Clear(ids []Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		delete(t.suspects, id)
	}
}

// Block applies a verdict of another host, unless it is too old or this host has seen an answer begin since the last crash,
// which refutes it.
func (t *Tracker) Block(v Verdict, now time.Time) (refuted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if Expired(v, now) {
		return false
	}
	if t.proven[v.Identity].After(v.At) {
		return true
	}
	s := t.suspect(v.Identity)
	newlyBlocked := !s.blocked
	s.blocked = true
	if newlyBlocked && s.depth > 0 {
		t.explain(v.Identity)
	}
	s.crashes = max(s.crashes, v.Crashes)
	if v.At.After(s.at) {
		s.at = v.At
	}
	return false
}

// Expired reports whether a verdict is too old to hold.
func Expired(v Verdict, now time.Time) bool {
	return now.Sub(v.At) >= entryTTL
}

// Blocked returns the blocked identity of a request, if it has one.
func (t *Tracker) Blocked(r Request, now time.Time) (Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return Verdict{}, false
	}
	for _, id := range r.identities() {
		if s := t.suspects[id]; s != nil && s.blocked && now.Sub(s.at) < entryTTL {
			return s.verdict(id), true
		}
	}
	return Verdict{}, false
}

// Verdicts returns the verdicts in force.
func (t *Tracker) Verdicts() []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var verdicts []Verdict
	for id, s := range t.suspects {
		if s.blocked {
			verdicts = append(verdicts, s.verdict(id))
		}
	}
	return verdicts
}

// TakeTrial reports whether one request with a blocked identity may be run now, to see whether the verdict still holds.
// Another one may not before the delay has passed again. owner is true at the host that makes the trials of the identity.
func (t *Tracker) TakeTrial(id Identity, owner bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[id]
	if s == nil || !s.blocked {
		return false
	}
	delay := firstTrialDelay << min(max(0, s.crashes-crashesToBlock), maxTrialDoublings)
	if !owner {
		delay *= otherHostsFactor
	}
	if now.Sub(s.at) < delay {
		return false
	}
	s.at = now
	return true
}

// sweep removes expired entries once per sweepPeriod, or on every call while there are maxEntries or more.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepPeriod && len(t.suspects)+len(t.proven) < maxEntries {
		return
	}
	t.lastSweep = now
	for id, s := range t.suspects {
		if now.Sub(s.at) >= entryTTL {
			delete(t.suspects, id)
		}
	}
	removeOld(t.proven, now)
	removeOld(t.explained, now)
}

func removeOld[K comparable](entries map[K]time.Time, now time.Time) {
	for key, at := range entries {
		if now.Sub(at) >= entryTTL {
			delete(entries, key)
		}
	}
}

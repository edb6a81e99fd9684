package wharfsoak

import (
	"sync"
	"time"
)

// faultSpans records the periods in which something was faulty; it is safe for concurrent use.
type faultSpans struct {
	mu    sync.Mutex
	spans []span
}

// span is a period of time.
type span struct {
	from, to time.Time // to is zero until the period has ended
}

// begin records the start of a fault; the returned function records its end.
func (f *faultSpans) begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	index := len(f.spans)
	f.spans = append(f.spans, span{from: time.Now()})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.spans[index].to = time.Now()
	}
}

// overlaps reports whether a fault was present at any moment between two times.
func (f *faultSpans) overlaps(from, to time.Time) bool {
	return f.count(from, to) > 0
}

// count returns the number of faults that were present at any moment between two times.
func (f *faultSpans) count(from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, s := range f.spans {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			count++
		}
	}
	return count
}

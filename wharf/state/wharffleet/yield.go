package wharffleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// YieldingHost returns the host that should stop a batch item at an endpoint, and whether any runs one there.
func (f *Fleet) YieldingHost(id string) (host string, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[id]
	if e == nil || e.batch == 0 {
		return "", false
	}
	if e.own.Batch > 0 {
		return f.host, true
	}
	return f.yielders(e)[0], true
}

// yielders returns the hosts that run batch items at an endpoint, those with most of them first.
func (f *Fleet) yielders(e *entry) []string {
	batch := map[string]int{}
	if e.own.Batch > 0 {
		batch[f.host] = e.own.Batch
	}
	for host, loads := range f.reported {
		if load := loads[e.ID]; load.Batch > 0 {
			batch[host] = load.Batch
		}
	}
	return slices.SortedFunc(maps.Keys(batch), func(a, b string) int {
		return cmp.Or(cmp.Compare(batch[b], batch[a]), cmp.Compare(a, b))
	})
}

// Overcommitted returns the endpoints at which this host runs batch items, whose slots have been exceeded for a while,
// counting all hosts, and at which it falls to this host to stop batch items.
func (f *Fleet) Overcommitted() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var overfull []string
	for id, e := range f.used {
		excess := e.online + e.batch - e.Slots
		if excess <= 0 || e.own.Batch == 0 {
			e.over = time.Time{}
			continue
		}
		if e.over.IsZero() {
			e.over = now
		}
		if now.Sub(e.over) < overfullAfter {
			continue
		}
		yielders := f.yielders(e)
		if slices.Contains(yielders[:min(excess, len(yielders))], f.host) {
			e.over = now
			overfull = append(overfull, id)
		}
	}
	return overfull
}

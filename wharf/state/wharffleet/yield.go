package wharffleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// YieldingHost returns the host that should stop a batch item at an endpoint, preferring this host. It reports false if
// no host that can be asked runs a batch item there.
func (f *Fleet) YieldingHost(id string) (host string, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[id]
	if e == nil {
		return "", false
	}
	if e.own.Batch > 0 {
		return f.host, true
	}
	f.checkSilence(time.Now())
	hosts := f.batchHosts(e)
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[0], true
}

// batchHosts returns the hosts that run batch items at an endpoint and can be asked to stop them, by descending number of
// items.
func (f *Fleet) batchHosts(e *entry) []string {
	batch := map[string]int{}
	if e.own.Batch > 0 {
		batch[f.host] = e.own.Batch
	}
	for host, p := range f.peers {
		if load := p.loads[e.ID]; load.Batch > 0 && !p.silent {
			batch[host] = load.Batch
		}
	}
	return slices.SortedFunc(maps.Keys(batch), func(a, b string) int {
		return cmp.Or(cmp.Compare(batch[b], batch[a]), cmp.Compare(a, b))
	})
}

// Overcommitted returns the IDs of endpoints whose load from all hosts has exceeded their slots for overcommitGrace and
// at which this host should stop a batch item. For each excess request, one host is selected, those with most items
// first.
func (f *Fleet) Overcommitted() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.checkSilence(now)
	var overcommitted []string
	for id, e := range f.used {
		excess := e.online + e.batch - e.Slots
		if excess <= 0 || e.own.Batch == 0 {
			e.overcommittedSince = time.Time{}
			continue
		}
		if e.overcommittedSince.IsZero() {
			e.overcommittedSince = now
		}
		if now.Sub(e.overcommittedSince) < overcommitGrace {
			continue
		}
		hosts := f.batchHosts(e)
		if slices.Contains(hosts[:min(excess, len(hosts))], f.host) {
			e.overcommittedSince = now
			overcommitted = append(overcommitted, id)
		}
	}
	return overcommitted
}

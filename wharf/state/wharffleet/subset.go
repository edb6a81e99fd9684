package wharffleet

import (
	"cmp"
	"iter"
	"slices"
)

const (
	// minSubset is the smallest number of endpoints of a service and zone among which a host usually chooses. With
	// eight slots each, a host's bursts average out over them; a larger subset would cost a connection and load reports
	// for every pair of host and endpoint. A host chooses among more while less than minFreeShare of their slots is
	// free, because hosts that share them would often choose the same slot.
	minSubset = 64
	// minHostsPerEndpoint is the smallest number of hosts that share an endpoint: several, since callers are
	// distributed unevenly over hosts.
	minHostsPerEndpoint = 4
)

// service holds the endpoints of a service in two rings sorted by hash: those of this host's zone, and those of all
// others. Each host chooses from its own position on, and positions are evenly spaced, so that few hosts share an
// endpoint and they learn of each other's requests soon (deterministic subsetting; Beyer and others 2016, Site
// Reliability Engineering, chapter 20).
type service struct {
	near, far []*entry
}

func (s *service) add(e *entry, near bool) {
	if near {
		s.near = append(s.near, e)
		return
	}
	s.far = append(s.far, e)
}

func (s *service) sortRings() {
	for _, ring := range [][]*entry{s.near, s.far} {
		slices.SortFunc(ring, compareRing)
	}
}

// compareRing orders endpoints in a ring.
func compareRing(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
}

// all yields all endpoints of the service. It accepts a nil receiver, for a service without endpoints.
func (s *service) all() iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		if s == nil {
			return
		}
		for _, ring := range [][]*entry{s.near, s.far} {
			for _, e := range ring {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// from yields the endpoints of a ring starting at a position in [0, 1), each with its distance from the start.
func from(ring []*entry, position float64) iter.Seq2[int, *entry] {
	return func(yield func(int, *entry) bool) {
		start := startIndex(len(ring), position)
		for i := range ring {
			if !yield(i, ring[(start+i)%len(ring)]) {
				return
			}
		}
	}
}

func startIndex(length int, position float64) int {
	return int(position * float64(length))
}

// SetPosition sets this host's position in the rings from its zero-based rank among the hosts of its zone and their
// number.
func (f *Fleet) SetPosition(rank, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position = float64(rank) / float64(max(1, count))
	f.hosts = max(1, count)
}

// subsetSize returns the number of endpoints, of a ring with length endpoints, among which a host usually chooses.
func (f *Fleet) subsetSize(length int) int {
	return min(length, max(minSubset, (minHostsPerEndpoint*length+f.hosts-1)/f.hosts))
}

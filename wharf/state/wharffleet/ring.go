package wharffleet

import (
	"cmp"
	"iter"
	"slices"
)

const (
	// leastArc is the number of endpoints of a service and zone among which a host usually chooses: with eight slots each,
	// its bursts even out, and more would have a connection and reports for each pair of host and endpoint. It chooses
	// among more while less than crowdedShare of their slots is free, since hosts that share them would often choose the
	// same.
	leastArc = 64
	// leastHosts is the number of hosts that usually choose an endpoint: several, since callers come to hosts unevenly.
	leastHosts = 4
)

// service is a service's endpoints, each zone's part in a ring in the order of their marks. Hosts choose from their own
// positions on, which are spread evenly, so that an endpoint has few hosts that know of each other's requests soon
// (deterministic subsets; Beyer and others 2016, Site Reliability Engineering, chapter 20).
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

func (s *service) order() {
	for _, ring := range [][]*entry{s.near, s.far} {
		slices.SortFunc(ring, func(a, b *entry) int { return cmp.Or(cmp.Compare(a.mark, b.mark), cmp.Compare(a.ID, b.ID)) })
	}
	for i, e := range s.near {
		e.index = i
	}
}

// all yields the endpoints; a service without any is nil.
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

// from yields a ring's endpoints from a position between 0 and 1 on, each with the number of those before it.
func from(ring []*entry, position float64) iter.Seq2[int, *entry] {
	return func(yield func(int, *entry) bool) {
		start := startOf(len(ring), position)
		for i := range ring {
			if !yield(i, ring[(start+i)%len(ring)]) {
				return
			}
		}
	}
}

func startOf(length int, position float64) int {
	return int(position * float64(length))
}

// SetPosition sets this host's position: its rank among the hosts of its zone, from 0, and their number.
func (f *Fleet) SetPosition(rank, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position = float64(rank) / float64(max(1, count))
	f.hosts = max(1, count)
}

// arc returns the number of endpoints of a ring among which a host usually chooses.
func (f *Fleet) arc(length int) int {
	return min(length, max(leastArc, (leastHosts*length+f.hosts-1)/f.hosts))
}

// SubsetFraction returns the part of its zone's endpoints among which a host usually chooses, at most 1; hosts whose positions are
// closer than that share endpoints.
func (f *Fleet) SubsetFraction() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	widest := 0.0
	for _, s := range f.services {
		if length := len(s.near); length > 0 {
			widest = max(widest, float64(f.arc(length))/float64(length))
		}
	}
	if widest == 0 {
		return 1
	}
	return widest
}

// wide reports whether other hosts than those nearby in the ring may have requests at an endpoint.
func (f *Fleet) wide(e *entry) bool {
	if e.Zone != f.zone {
		return true
	}
	length := len(f.services[e.Service].near)
	return (e.index-startOf(length, f.position)+length)%length >= f.arc(length)
}

package wharfevacuation

import (
	"maps"
	"slices"
)

// Change is one row of the store that starts or ends a zone's evacuation.
type Change struct {
	Zone    string
	Version uint64 // store version of the row or of its deletion
	Ended   bool
}

// Set is the evacuated zones as of a store version. It is immutable. A nil Set is that of a host that knows nothing of
// evacuations.
type Set struct {
	Version uint64            // store version up to which the set is known
	InForce map[string]uint64 // by zone, the version of the row that requests the evacuation
	// Ended holds, by zone, the store version at which the last known evacuation had ended. A row of the store that is not
	// newer was written while the zone may still have been evacuated.
	Ended map[string]uint64
}

// Includes reports whether a zone is evacuated.
func (s *Set) Includes(zone string) bool {
	if s == nil || len(s.InForce) == 0 {
		return false
	}
	_, found := s.InForce[zone]
	return found
}

// EndedAt returns the store version at which the last known evacuation of a zone had ended, or 0 if the zone is
// evacuated or no evacuation of it is known.
func (s *Set) EndedAt(zone string) uint64 {
	if s == nil || s.Includes(zone) {
		return 0
	}
	return s.Ended[zone]
}

// Used reports whether any evacuation, in force or ended, is known.
func (s *Set) Used() bool {
	return s != nil && len(s.InForce)+len(s.Ended) > 0
}

// Zones returns the evacuated zones, sorted.
func (s *Set) Zones() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.InForce))
}

// Returns reports whether a zone that was evacuated by an earlier set is not by this one.
func (s *Set) Returns(earlier *Set) bool {
	return slices.ContainsFunc(earlier.Zones(), func(zone string) bool { return !s.Includes(zone) })
}

// Advance returns the set after changes of the store up to a version, in the order of their versions. Changes that are
// older than the set's newest change of their zone have no effect.
func (s *Set) Advance(version uint64, changes []Change) *Set {
	next := s.copy(version)
	for _, c := range changes {
		if c.Version < max(next.InForce[c.Zone], next.Ended[c.Zone]) {
			continue
		}
		if c.Ended {
			delete(next.InForce, c.Zone)
			next.Ended[c.Zone] = c.Version
			continue
		}
		next.InForce[c.Zone] = c.Version
	}
	return next
}

// Replace returns the set after a read of all rows at a version. The evacuations that are missing have ended by then.
func (s *Set) Replace(version uint64, rows []Change) *Set {
	next := s.copy(version)
	clear(next.InForce)
	for _, row := range rows {
		next.InForce[row.Zone] = row.Version
	}
	next.endMissing(s, version)
	return next
}

// Merge returns the newer of two sets, with the ended evacuations of the older one.
func (s *Set) Merge(other *Set) *Set {
	if other == nil || s != nil && other.Version < s.Version {
		return s
	}
	next := other.copy(other.Version)
	next.endMissing(s, other.Version)
	return next
}

// endMissing marks the evacuations of an older set that this one does not have as ended at a version, and keeps what the
// older set has of ended ones.
func (s *Set) endMissing(older *Set, version uint64) {
	if older == nil {
		return
	}
	for zone, ended := range older.Ended {
		s.Ended[zone] = max(s.Ended[zone], ended)
	}
	for zone, started := range older.InForce {
		if !s.Includes(zone) && s.Ended[zone] < started {
			s.Ended[zone] = version
		}
	}
}

func (s *Set) copy(version uint64) *Set {
	next := &Set{Version: version, InForce: map[string]uint64{}, Ended: map[string]uint64{}}
	if s != nil {
		maps.Copy(next.InForce, s.InForce)
		maps.Copy(next.Ended, s.Ended)
	}
	return next
}

package wharfevacuation

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func start(zone string, version uint64) Change { return Change{Zone: zone, Version: version} }

func end(zone string, version uint64) Change {
	return Change{Zone: zone, Version: version, Ended: true}
}

// TestUnknownSetEvacuatesNothing guards against a host that fails before it has read the set.
func TestUnknownSetEvacuatesNothing(t *testing.T) {
	var s *Set
	assert.Assert(t, !s.Includes("a"))
	assert.Equal(t, s.EndedAt("a"), uint64(0))
	assert.Equal(t, len(s.Zones()), 0)
	assert.Assert(t, s.Merge(nil) == nil)
}

// TestEvacuationsStartAndEnd plays two zones one after the other, and one that is cancelled and requested again.
func TestEvacuationsStartAndEnd(t *testing.T) {
	var s *Set
	s = s.Replace(5, []Change{start("a", 3)})
	assert.DeepEqual(t, s.Zones(), []string{"a"})
	s = s.Advance(7, []Change{end("a", 6), start("b", 7)})
	assert.DeepEqual(t, s.Zones(), []string{"b"})
	assert.Equal(t, s.EndedAt("a"), uint64(6))
	s = s.Advance(9, []Change{end("b", 8), start("b", 9)})
	assert.DeepEqual(t, s.Zones(), []string{"b"})
	assert.Equal(t, s.EndedAt("b"), uint64(0), "the zone is evacuated again")
	s = s.Advance(10, []Change{start("a", 5), end("b", 8)})
	assert.Assert(t, s.Includes("b") && !s.Includes("a"), "changes that arrive late have no effect")
	s = s.Replace(12, nil)
	assert.Equal(t, len(s.Zones()), 0)
	assert.Equal(t, s.EndedAt("b"), uint64(12), "the row was missing in a full read")
	assert.Equal(t, s.EndedAt("a"), uint64(6))
	var none *Set
	evacuated := none.Replace(1, []Change{start("a", 1)})
	assert.Assert(t, s.Returns(evacuated) && none.Returns(evacuated))
	assert.Assert(t, !evacuated.Returns(evacuated) && !evacuated.Returns(s) && !s.Returns(none))
}

// TestNewestSetWins guards against a peer's older set that ends an evacuation or starts one again.
func TestNewestSetWins(t *testing.T) {
	var none *Set
	old := none.Replace(5, []Change{start("a", 3)})
	newer := old.Advance(9, []Change{end("a", 8), start("b", 9)})
	for _, merged := range []*Set{old.Merge(newer), newer.Merge(old), none.Merge(newer)} {
		assert.Equal(t, merged.Version, uint64(9))
		assert.DeepEqual(t, merged.Zones(), []string{"b"})
		assert.Equal(t, merged.EndedAt("a"), uint64(8))
	}
	assert.Assert(t, newer.Merge(nil).Includes("b"), "a host of an older build knows no set")
}

// model is a store and the hosts that learn of its changes.
type model struct {
	version uint64
	rows    map[string]uint64
	feed    []Change
	hosts   [3]*Set
}

// TestHostsAgree checks that hosts which learn of random changes by the feed, by full reads or from each other all come to
// the set that the store holds, and that no host takes an evacuation that it knew for ended at a version before its end.
func TestHostsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{rows: map[string]uint64{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			host := rapid.IntRange(0, 2).Draw(t, "host")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				m.change(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "zone")), rapid.Bool().Draw(t, "again"))
			case 2:
				m.learn(t, host, readAll(m.hosts[host], m.version, m.rows))
			case 3:
				m.learn(t, host, follow(m.hosts[host], m.version, m.rows, m.feed))
			case 4:
				m.learn(t, host, m.hosts[host].Merge(m.hosts[rapid.IntRange(0, 2).Draw(t, "peer")]))
			}
		}
		for host, s := range m.hosts {
			m.learn(t, host, follow(s, m.version, m.rows, m.feed))
			assert.DeepEqual(t, m.hosts[host].InForce, m.rows)
		}
	})
}

// change starts or ends the evacuation of a zone, or requests it again.
func (m *model) change(zone string, again bool) {
	m.version++
	if m.rows[zone] == 0 || again {
		m.rows[zone] = m.version
		m.feed = append(m.feed, start(zone, m.version))
		return
	}
	delete(m.rows, zone)
	m.feed = append(m.feed, end(zone, m.version))
}

// learn replaces a host's set.
func (m *model) learn(t *rapid.T, host int, next *Set) {
	before := m.hosts[host]
	m.hosts[host] = next
	if before == nil {
		return
	}
	for zone, started := range before.InForce {
		first := slices.IndexFunc(m.feed, func(c Change) bool { return c.Zone == zone && c.Ended && c.Version > started })
		assert.Assert(t, next.Includes(zone) || next.EndedAt(zone) >= m.feed[first].Version, "zone %s", zone)
		assert.Assert(t, next.EndedAt(zone) <= m.version)
	}
}

func readAll(s *Set, version uint64, rows map[string]uint64) *Set {
	var all []Change
	for zone, row := range rows {
		all = append(all, start(zone, row))
	}
	return s.Replace(version, all)
}

func follow(s *Set, version uint64, rows map[string]uint64, feed []Change) *Set {
	if s == nil {
		return readAll(s, version, rows)
	}
	var changes []Change
	for _, c := range feed {
		if c.Version > s.Version {
			changes = append(changes, c)
		}
	}
	return s.Advance(version, changes)
}

package wharfhost

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	hostTable = "wharf-hosts"
	// refreshPeriod is the time between two writings of a host's row, and between two readings of all. In large fleets it
	// is refreshPerHost for each host, so that the rows that all hosts read grow with the hosts and not with their square.
	refreshPeriod  = 5 * time.Second
	refreshPerHost = 70 * time.Millisecond
	// firstPause is the mean pause after a call that the store has not answered; it doubles from failure to failure, up to
	// refreshPeriod.
	firstPause = 300 * time.Millisecond
	// writeSpread is the time over which a host spreads its first writing, for each host: all rows stand in one part of the
	// table, which takes 200 transactions a second on the platforms known, and all hosts may start at once.
	writeSpread = 10 * time.Millisecond
	// settleParts is the part of that period, as a divisor, in the first seconds, in which all hosts start.
	settleParts = 5
	settleFor   = 5 * time.Second
	// lostPeriods is the number of periods without a change of its row and without a word from it after which a host's part
	// of the rates is shared out: a host that can neither write its row nor reach others stops using its part earlier.
	lostPeriods = 3.2
	// memberCall bounds one call of the store.
	memberCall = time.Second
)

// member is the row of a host.
type member struct {
	Zone        string         `cbor:"1,keyasint"`
	Address     netip.AddrPort `cbor:"2,keyasint"`
	Incarnation uint64         `cbor:"3,keyasint"`
	Refreshed   uint64         `cbor:"4,keyasint"` // counts the writings of the row
}

// sighting is what the row of another host last said.
type sighting struct {
	version uint64
	since   time.Time // when this version was first seen
}

// members keeps this host's row and reads those of the others.
type members struct {
	host    *Host
	mu      sync.Mutex
	seen    map[string]sighting
	listed  bool // this host's row has been written
	settled bool // the rows have been read since
	started time.Time
	written uint64
}

// serve reads the rows of the other hosts and writes this host's until ctx ends. The others are read first: without them
// this host would not know whom to tell of its requests, however long the store takes to write. How many hosts there are is
// known by a reading after the own row has been written only: of two hosts that start at once one sees the other by then.
func (m *members) serve(ctx context.Context) error {
	started, due, pause := time.Now(), time.Time{}, firstPause
	for {
		err := m.read(ctx)
		if err == nil && !time.Now().Before(due) {
			first := due.IsZero()
			if err = m.write(ctx, first); err == nil {
				due = time.Now().Add(m.period())
			}
			if err == nil && first {
				err = m.read(ctx)
			}
		}
		wait := m.period()
		switch {
		case err != nil:
			klog.InfoS("membership not refreshed", "error", err.Error())
			wait = pause/2 + rand.N(pause)
			pause = min(2*pause, refreshPeriod)
		case time.Since(started) < settleFor:
			wait /= settleParts
		}
		if err == nil {
			pause = firstPause
		}
		m.host.limiter.SetHostCount(m.holders())
		if !wharfpause.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

// period returns the time between two readings of all rows.
func (m *members) period() time.Duration {
	return periodOf(m.known() + 1)
}

func periodOf(hosts int) time.Duration {
	return max(refreshPeriod, time.Duration(hosts)*refreshPerHost)
}

// write writes this host's row; the first time it waits for its turn.
func (m *members) write(ctx context.Context, first bool) error {
	if first && !wharfpause.For(ctx, rand.N(time.Duration(m.known()+1)*writeSpread)) {
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, memberCall)
	defer cancel()
	m.written++
	row, err := cbor.Marshal(member{
		Zone:        m.host.settings.Zone,
		Address:     m.host.settings.PeerAddress(),
		Incarnation: m.host.incarnation,
		Refreshed:   m.written,
	})
	if err != nil {
		return err
	}
	_, err = m.host.store.Commit(ctx, wharfrecords.Transaction{
		Puts: []wharfrecords.Row{{Table: hostTable, Key: m.host.settings.Host, Value: row}},
	})
	if err == nil {
		m.mu.Lock()
		m.listed = true
		m.mu.Unlock()
	}
	return err
}

func (m *members) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, memberCall)
	defer cancel()
	page, err := wharfrecords.ReadAll(ctx, m.host.store, wharfrecords.Range{Table: hostTable})
	if err != nil {
		return err
	}
	m.take(page)
	return nil
}

// known returns the number of other hosts that have rows.
func (m *members) known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.seen)
}

func (m *members) take(page wharfrecords.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	seen := map[string]sighting{}
	for _, row := range page.Rows {
		if row.Key == m.host.settings.Host {
			continue
		}
		var other member
		if err := cbor.Unmarshal(row.Value, &other); err != nil {
			klog.ErrorS(err, "host's row can not be read; it is left out", "peer", row.Key, "row-version", row.Version)
			continue
		}
		s := m.seen[row.Key]
		if s.version != row.Version {
			s = sighting{version: row.Version, since: now}
		}
		seen[row.Key] = s
		m.host.gossip.AddPeer(row.Key, other.Zone, other.Address, other.Incarnation)
	}
	for name := range m.seen {
		if _, still := seen[name]; !still {
			m.host.gossip.RemovePeer(name)
			m.host.fleet.Forget(name)
			klog.InfoS("host has left", "peer", name, "version", page.Version)
		}
	}
	m.seen = seen
	m.settled = m.listed
}

// holders returns the number of hosts that hold a part of each rate, this one included. A host whose port refuses
// connections keeps its part: it may be cut off by something that refuses them. The number is 0 until the others are
// known, by their rows or, while the store does not answer, by their messages.
func (m *members) holders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.settled && now.Sub(m.started) < settleFor {
		return 0
	}
	count := 1
	lostAfter := time.Duration(lostPeriods * float64(periodOf(len(m.seen)+1)))
	for _, p := range m.host.gossip.Peers() {
		row, hasRow := m.seen[p.Host]
		lost := hasRow && now.Sub(row.since) > lostAfter && now.Sub(p.LastHeard) > lostAfter
		if !lost {
			count++
		}
	}
	return count
}

// leave removes this host's row.
func (m *members) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberCall)
	defer cancel()
	_, err := m.host.store.Commit(ctx, wharfrecords.Transaction{
		Deletes: []wharfrecords.Row{{Table: hostTable, Key: m.host.settings.Host}},
	})
	if err != nil {
		klog.InfoS("host's row not removed", "error", err.Error())
	}
}

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
	// initialBackoff is the mean pause after a call that the store has not answered; it doubles from failure to failure, up to
	// refreshPeriod.
	initialBackoff = 300 * time.Millisecond
	// writeJitterPerHost is the time over which a host spreads its first writing, for each host: all rows stand in one part of the
	// table, which takes 200 transactions a second on the platforms known, and all hosts may start at once.
	writeJitterPerHost = 10 * time.Millisecond
	// startupPeriodDivisor is the part of that period, as a divisor, in the first seconds, in which all hosts start.
	startupPeriodDivisor = 5
	startupTime          = 5 * time.Second
	// lostAfterPeriods is the number of periods without a change of its row and without a word from it after which a host's part
	// of the rates is shared out: a host that can neither write its row nor reach others stops using its part earlier.
	lostAfterPeriods = 3.2
	// storeCallTimeout bounds one call of the store.
	storeCallTimeout = time.Second
)

// hostRow is the row of a host.
type hostRow struct {
	Zone        string         `cbor:"1,keyasint"`
	Address     netip.AddrPort `cbor:"2,keyasint"`
	Incarnation uint64         `cbor:"3,keyasint"`
	Refreshed   uint64         `cbor:"4,keyasint"` // counts the writings of the row
}

// rowObservation is what the row of another host last said.
type rowObservation struct {
	version uint64
	since   time.Time // when this version was first seen
}

// membership keeps this host's row and reads those of the others.
type membership struct {
	host     *Host
	mu       sync.Mutex
	observed map[string]rowObservation
	listed   bool // this host's row has been written
	settled  bool // the rows have been read since
	started  time.Time
	writes   uint64
}

// run reads the rows of the other hosts and writes this host's until ctx ends. The others are read first: without them
// this host would not know whom to tell of its requests, however long the store takes to write. How many hosts there are is
// known by a reading after the own row has been written only: of two hosts that start at once one sees the other by then.
func (m *membership) run(ctx context.Context) error {
	started, due, pause := time.Now(), time.Time{}, initialBackoff
	for {
		err := m.read(ctx)
		if err == nil && !time.Now().Before(due) {
			first := due.IsZero()
			if err = m.write(ctx, first); err == nil {
				due = time.Now().Add(m.refreshInterval())
			}
			if err == nil && first {
				err = m.read(ctx)
			}
		}
		wait := m.refreshInterval()
		switch {
		case err != nil:
			klog.InfoS("membership not refreshed", "error", err.Error())
			wait = pause/2 + rand.N(pause)
			pause = min(2*pause, refreshPeriod)
		case time.Since(started) < startupTime:
			wait /= startupPeriodDivisor
		}
		if err == nil {
			pause = initialBackoff
		}
		m.host.limiter.SetHolders(m.holders())
		if !wharfpause.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

// refreshInterval returns the time between two readings of all rows.
func (m *membership) refreshInterval() time.Duration {
	return refreshIntervalFor(m.otherHosts() + 1)
}

func refreshIntervalFor(hosts int) time.Duration {
	return max(refreshPeriod, time.Duration(hosts)*refreshPerHost)
}

// write writes this host's row; the first time it waits for its turn.
func (m *membership) write(ctx context.Context, first bool) error {
	if first && !wharfpause.For(ctx, rand.N(time.Duration(m.otherHosts()+1)*writeJitterPerHost)) {
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	m.writes++
	row, err := cbor.Marshal(hostRow{
		Zone:        m.host.settings.Zone,
		Address:     m.host.settings.PeerAddress(),
		Incarnation: m.host.incarnation,
		Refreshed:   m.writes,
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

func (m *membership) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	page, err := wharfrecords.ReadAll(ctx, m.host.store, wharfrecords.Range{Table: hostTable})
	if err != nil {
		return err
	}
	m.apply(page)
	return nil
}

// otherHosts returns the number of other hosts that have rows.
func (m *membership) otherHosts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.observed)
}

func (m *membership) apply(page wharfrecords.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	seen := map[string]rowObservation{}
	for _, row := range page.Rows {
		if row.Key == m.host.settings.Host {
			continue
		}
		var other hostRow
		if err := cbor.Unmarshal(row.Value, &other); err != nil {
			klog.ErrorS(err, "host's row can not be read; it is left out", "peer", row.Key, "row-version", row.Version)
			continue
		}
		s := m.observed[row.Key]
		if s.version != row.Version {
			s = rowObservation{version: row.Version, since: now}
		}
		seen[row.Key] = s
		m.host.gossip.Know(row.Key, other.Zone, other.Address, other.Incarnation)
	}
	for name := range m.observed {
		if _, still := seen[name]; !still {
			m.host.gossip.Drop(name)
			m.host.fleet.Forget(name)
			klog.InfoS("host has left", "peer", name, "version", page.Version)
		}
	}
	m.observed = seen
	m.settled = m.listed
}

// holders returns the number of hosts that hold a part of each rate, this one included. A host whose port refuses
// connections keeps its part: it may be cut off by something that refuses them. The number is 0 until the others are
// known, by their rows or, while the store does not answer, by their messages.
func (m *membership) holders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.settled && now.Sub(m.started) < startupTime {
		return 0
	}
	count := 1
	lostAfter := time.Duration(lostAfterPeriods * float64(refreshIntervalFor(len(m.observed)+1)))
	for _, p := range m.host.gossip.Peers() {
		row, hasRow := m.observed[p.Host]
		lost := hasRow && now.Sub(row.since) > lostAfter && now.Sub(p.Heard) > lostAfter
		if !lost {
			count++
		}
	}
	return count
}

// deleteRow removes this host's row.
func (m *membership) deleteRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := m.host.store.Commit(ctx, wharfrecords.Transaction{
		Deletes: []wharfrecords.Row{{Table: hostTable, Key: m.host.settings.Host}},
	})
	if err != nil {
		klog.InfoS("host's row not removed", "error", err.Error())
	}
}

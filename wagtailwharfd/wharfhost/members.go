package wharfhost

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	hostTable = "wharf-hosts"
	// minRefreshInterval is the minimum interval between writes of this host's row and between reads of all rows. Large
	// fleets use refreshIntervalPerHost times the number of hosts, so that the total read load grows linearly with the
	// fleet rather than quadratically.
	minRefreshInterval     = 5 * time.Second
	refreshIntervalPerHost = 70 * time.Millisecond
	// initialBackoff is the mean delay after the first failed store call. It doubles with each consecutive failure, up
	// to minRefreshInterval.
	initialBackoff = 300 * time.Millisecond
	// writeJitterPerHost, times the number of hosts, is the maximum random delay before a host's first write. All rows
	// are in one table partition, which accepts 200 transactions/s on known platforms, and all hosts may start at once.
	writeJitterPerHost = 10 * time.Millisecond
	// startupIntervalDivisor shortens the refresh interval during startupTime, when all hosts may be starting.
	startupIntervalDivisor = 5
	startupTime            = 5 * time.Second
	// lostAfterIntervals is the number of refresh intervals without a row update or a gossip message after which a
	// host's share of the rates is redistributed. A host that can neither write its row nor reach its peers stops using
	// its share earlier than that.
	lostAfterIntervals = 3.2
	// storeCallTimeout bounds a single store call.
	storeCallTimeout = time.Second
)

// hostRow is the CBOR value of a host's row in hostTable.
type hostRow struct {
	Zone        string         `cbor:"1,keyasint"`
	Address     netip.AddrPort `cbor:"2,keyasint"`
	Incarnation uint64         `cbor:"3,keyasint"`
	Refreshed   uint64         `cbor:"4,keyasint"` // number of writes of this row
}

// rowObservation is the last observed version of another host's row.
type rowObservation struct {
	version uint64
	since   time.Time // when this version was first observed
}

// membership maintains this host's row and tracks the rows of the other hosts.
type membership struct {
	host     *Host
	mu       sync.Mutex
	observed map[string]rowObservation
	listed   bool      // this host's row has been written at least once
	settled  bool      // all rows have been read after that write
	readAt   time.Time // when the rows were last read
	started  time.Time
	writes   uint64
}

// run refreshes this host's row and reads the others until ctx is done. It reads before the first write, so that the
// host knows its gossip peers even while the store is slow to accept writes. The number of hosts is trusted only once
// the rows have been read after this host's row was written: of two hosts that start together, at least one then sees
// the other.
func (m *membership) run(ctx context.Context) error {
	started, nextWrite, backoff := time.Now(), time.Time{}, initialBackoff
	for {
		err := m.read(ctx)
		if err == nil && !time.Now().Before(nextWrite) {
			first := nextWrite.IsZero()
			if err = m.write(ctx, first); err == nil {
				nextWrite = time.Now().Add(m.refreshInterval())
			}
			if err == nil && first {
				err = m.read(ctx)
			}
		}
		wait := m.refreshInterval()
		switch {
		case err != nil:
			klog.InfoS("membership refresh failed", "error", err.Error())
			wait = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, minRefreshInterval)
		case time.Since(started) < startupTime:
			wait /= startupIntervalDivisor
		}
		if err == nil {
			backoff = initialBackoff
		}
		m.host.limiter.SetHostCount(m.hostCount())
		m.host.updateSenders()
		if !wharfpause.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

// refreshInterval returns the current interval between reads of all rows.
func (m *membership) refreshInterval() time.Duration {
	return refreshIntervalFor(m.otherHosts() + 1)
}

// refreshIntervalFor returns the refresh interval of a fleet of the given size.
func refreshIntervalFor(hosts int) time.Duration {
	return max(minRefreshInterval, time.Duration(hosts)*refreshIntervalPerHost)
}

// write stores this host's row. The first write is delayed by a random jitter.
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

// read loads the rows of all hosts and applies them.
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

// otherHosts returns the number of other hosts that have a row.
func (m *membership) otherHosts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.observed)
}

// apply passes the hosts in page to gossip and forgets hosts whose rows are gone.
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
			klog.ErrorS(err, "skipping undecodable host row", "peer", row.Key, "row-version", row.Version)
			continue
		}
		observation := m.observed[row.Key]
		if observation.version != row.Version {
			observation = rowObservation{version: row.Version, since: now}
		}
		seen[row.Key] = observation
		m.host.gossip.AddPeer(row.Key, other.Zone, other.Address, other.Incarnation)
	}
	for name := range m.observed {
		if _, present := seen[name]; !present {
			m.host.gossip.RemovePeer(name)
			m.host.fleet.Forget(name)
			klog.InfoS("host row removed", "peer", name, "version", page.Version)
		}
	}
	m.observed, m.readAt = seen, now
	m.settled = m.listed
}

// hostCount returns the number of hosts that share each rate limit, including this one. A host whose port refuses
// connections keeps its share: something between the hosts, such as a firewall, may be refusing them. The result is 0
// until all rows have been read after this host's first write. If the store does not respond, it is 0 until
// startupTime has passed; after that, hosts known from gossip messages count.
func (m *membership) hostCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.settled && now.Sub(m.started) < startupTime {
		return 0
	}
	count := 1
	for _, p := range m.host.gossip.Peers() {
		if !m.lost(p, now) {
			count++
		}
	}
	return count
}

// lost reports whether a host has neither written its row nor been heard from for so long that its shares pass to
// others. The caller holds m.mu.
func (m *membership) lost(p wharfgossip.Peer, now time.Time) bool {
	lostAfter := time.Duration(lostAfterIntervals * float64(refreshIntervalFor(len(m.observed)+1)))
	observation, observed := m.observed[p.Host]
	return observed && now.Sub(observation.since) > lostAfter && now.Sub(p.LastHeard) > lostAfter
}

// hostsByZone returns the names of the hosts that are not lost, including this one, whether they are alive or not. Rows
// that this host can't read are no evidence of a loss: hosts that are cut off from the store keep the list that they had.
func (m *membership) hostsByZone(now time.Time) map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := now.Sub(m.readAt) < 2*refreshIntervalFor(len(m.observed)+1)
	zones := map[string][]string{m.host.settings.Zone: {m.host.settings.Host}}
	for _, p := range m.host.gossip.Peers() {
		if !current || !m.lost(p, now) {
			zones[p.Zone] = append(zones[p.Zone], p.Host)
		}
	}
	return zones
}

// deleteRow deletes this host's row. Failures are logged.
func (m *membership) deleteRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := m.host.store.Commit(ctx, wharfrecords.Transaction{
		Deletes: []wharfrecords.Row{{Table: hostTable, Key: m.host.settings.Host}},
	})
	if err != nil {
		klog.InfoS("cannot delete host row", "error", err.Error())
	}
}

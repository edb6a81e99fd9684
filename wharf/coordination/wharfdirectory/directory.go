package wharfdirectory

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharffollower"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfroute"
)

const (
	// configurationPollWait is how long the store may hold a long poll for configuration changes. It is much shorter
	// than the time within which a change must take effect, because a dead connection is detected only when the poll
	// times out.
	configurationPollWait = 1500 * time.Millisecond
	// endpointPollWait is the same for endpoints, whose rows change several times per second anyway.
	endpointPollWait = 800 * time.Millisecond
	// endpointPollInterval is the minimum time between two polls for endpoints, each of whose rows is renewed about
	// once per second. It is a quarter of the time within which a leaving endpoint must no longer receive requests.
	endpointPollInterval = 400 * time.Millisecond
	// replyTimeout bounds a poll beyond its wait. It exceeds the time a call to the store may take, so that the store
	// layer detects a silent store first.
	replyTimeout = time.Second
	// reregistrationGrace is how long endpoints whose registration expired during an outage are kept after it.
	// Endpoints register again within two seconds.
	reregistrationGrace = 2300 * time.Millisecond
	// configurationStaleAfter and endpointsStaleAfter are the ages from which this host asks its peers. They exceed
	// the usual time between two answers of the store.
	configurationStaleAfter = 2200 * time.Millisecond
	endpointsStaleAfter     = time.Second
	// outageThreshold is the age of the endpoints, as confirmed by the store or a peer, from which rows that are
	// missing when the store returns may have expired during an outage. If only this host had lost the store, peers
	// would have kept the endpoints up to date.
	outageThreshold = 1800 * time.Millisecond
	// peerSyncInterval is the time between two requests to peers.
	peerSyncInterval = 400 * time.Millisecond
	// maxEqualSyncs is the number of requests in an outage to peers that report the same version. Hosts report the older version
	// of both tables, so such a peer may have newer rows of one of them, such as the last row before the outage. As many
	// requests of each host spread that row to nearly all hosts of a large fleet.
	maxEqualSyncs = 10
)

// Options configures a Directory.
type Options struct {
	Store   wharfrecords.Store
	Decoder Decoder
	// FetchSnapshot returns the snapshot of a peer that has heard from the store more recently or, with orEqual, as recently.
	FetchSnapshot func(ctx context.Context, orEqual bool) (Snapshot, error)
	// OnChange is called with each new view. Calls never overlap.
	OnChange func(v *View)
	// OnWritten is called, if it is not nil, with the registrations in each answer of the store that were certainly
	// written after a time. It is called after OnChange, and calls of both never overlap.
	OnWritten func(ids []string, after time.Time)
}

// Directory maintains a View of the configuration and the endpoints. It is safe for concurrent use.
type Directory struct {
	options           Options
	view              atomic.Pointer[View]
	mu                sync.Mutex
	configuration     *wharfroute.Configuration
	configurationSync syncState
	endpoints         map[string]registration
	endpointSync      syncState
	lastPoll          time.Time                 // start of the last poll for endpoints that the store answered
	evacuations       evacuationState           // known up to configurationSync.version
	polledAt          atomic.Pointer[time.Time] // end of the last poll for configuration changes; nil before the first
	polled            chan struct{}             // closed at the end of the next one
}

// syncState is the store version up to which a table is known, and the time at which the store confirmed it.
type syncState struct {
	version     uint64
	confirmedAt time.Time
	follower    *wharffollower.Follower
}

// registration is a registered endpoint.
type registration struct {
	endpoint     wharffleet.Endpoint
	missingSince time.Time // zero unless the row was found missing after an outage
	coldUntil    time.Time // by its registration; see coldSlack
	version      uint64    // of the row, 0 if it is not known
}

// New returns an empty Directory.
func New(options Options) *Directory {
	d := &Directory{
		options: options, endpoints: map[string]registration{}, polled: make(chan struct{}),
		evacuations: evacuationState{startedAt: map[string]time.Time{}, unmatched: map[string]bool{}},
	}
	d.configurationSync.follower = wharffollower.New("configuration", 0,
		func() uint64 { return d.versionOf(&d.configurationSync) })
	d.endpointSync.follower = wharffollower.New("endpoints", endpointPollInterval,
		func() uint64 { return d.versionOf(&d.endpointSync) })
	d.view.Store(&View{})
	return d
}

// View returns the current view.
func (d *Directory) View() *View {
	return d.view.Load()
}

func (d *Directory) versionOf(s *syncState) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.version
}

// SyncedVersion returns the store version up to which both the configuration and the endpoints are known.
func (d *Directory) SyncedVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(d.configurationSync.version, d.endpointSync.version)
}

// Age returns the time since the store, directly or through a peer, last confirmed the configuration.
func (d *Directory) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.configurationSync.confirmedAt)
}

// EndpointsAge returns the time since the store, directly or through a peer, last confirmed the endpoints.
func (d *Directory) EndpointsAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.endpointSync.confirmedAt)
}

// Snapshot returns the current state for a peer.
func (d *Directory) Snapshot() Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Snapshot{
		Configuration:        d.configuration,
		ConfigurationVersion: d.configurationSync.version,
		EndpointsVersion:     d.endpointSync.version,
		Age:                  max(time.Since(d.configurationSync.confirmedAt), time.Since(d.endpointSync.confirmedAt)),
		Evacuations:          d.evacuations.set,
	}
	d.addColdness(&s)
	for _, r := range d.endpoints {
		s.Endpoints = append(s.Endpoints, r.endpoint)
	}
	return s
}

// Serve follows the store until ctx is done.
func (d *Directory) Serve(ctx context.Context) error {
	var followers sync.WaitGroup
	followers.Go(func() { _ = d.followConfiguration(ctx) }) // returns only when ctx is done
	followers.Go(func() { _ = d.followEndpoints(ctx) })
	followers.Go(func() { d.syncFromPeers(ctx) })
	followers.Wait()
	return ctx.Err()
}

// recovering reports whether the next answer is the first after an outage during which no peer provided newer state.
func (s *syncState) recovering() bool {
	return s.follower.Down() && time.Since(s.confirmedAt) > outageThreshold
}

func (d *Directory) followConfiguration(ctx context.Context) error {
	table, key := d.options.Decoder.ConfigurationKey()
	return d.configurationSync.follower.Serve(ctx, func(ctx context.Context, full bool) error {
		start := time.Now()
		page, err := d.poll(ctx, table, full, &d.configurationSync, configurationPollWait)
		if err == nil {
			d.applyConfiguration(page, key, full)
		}
		d.pollEnded(time.Since(start))
		return err
	})
}

func (d *Directory) followEndpoints(ctx context.Context) error {
	table := d.options.Decoder.EndpointTable()
	return d.endpointSync.follower.Serve(ctx, func(ctx context.Context, full bool) error {
		started := time.Now()
		page, err := d.poll(ctx, table, full, &d.endpointSync, endpointPollWait)
		if err == nil {
			d.applyEndpoints(page, full, started)
		}
		return err
	})
}

// poll reads the whole table if full is set, and otherwise waits for its changes.
func (d *Directory) poll(
	ctx context.Context, table string, full bool, state *syncState, wait time.Duration,
) (wharfrecords.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
	defer cancel()
	if full {
		return wharfrecords.ReadAll(ctx, d.options.Store, wharfrecords.Range{Table: table})
	}
	if state.follower.Down() || !d.Current() {
		wait = 0 // answer immediately, to separate changes during the outage or suspension from later ones
	}
	return d.options.Store.Changes(ctx, table, d.versionOf(state), wait)
}

// advance records a confirmed version and reports whether it is at least as new as the known one.
func (s *syncState) advance(version uint64, age time.Duration) bool {
	if version < s.version {
		return false
	}
	s.version = version
	s.confirmedAt = time.Now().Add(-age)
	return true
}

func (d *Directory) applyConfiguration(page wharfrecords.Page, key string, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.configurationSync.advance(page.Version, 0) {
		return
	}
	set, changes := d.evacuations.set, d.evacuationChanges(page.Rows)
	if full {
		set = set.Replace(page.Version, changes)
	} else {
		set = set.Advance(page.Version, changes)
	}
	changed := d.setEvacuations(set, "store", 0)
	for _, row := range page.Rows {
		if row.Key != key || row.Deleted {
			continue
		}
		configuration, err := d.options.Decoder.Configuration(row.Value)
		if err != nil {
			klog.ErrorS(err, "failed to decode configuration; keeping the previous one", "row-version", row.Version)
			continue
		}
		changed = d.activate(&configuration, "store") || changed
	}
	if changed {
		d.publish()
	}
}

// activate puts a configuration into force unless the current one is as new, and reports whether it did. The caller holds
// d.mu.
func (d *Directory) activate(configuration *wharfroute.Configuration, source string) bool {
	if d.configuration != nil && configuration.Version <= d.configuration.Version {
		return false
	}
	before := uint64(0)
	if d.configuration != nil {
		before = d.configuration.Version
	}
	klog.InfoS("configuration in force", "configuration-version", configuration.Version, "before", before,
		"source", source, "routes", len(configuration.Routes), "organisations", len(configuration.Organisations))
	d.configuration = configuration
	return true
}

// publish replaces the view with the current state. The caller holds d.mu.
func (d *Directory) publish() {
	v := &View{Evacuations: d.evacuations.set}
	if d.configuration != nil && d.evacuations.set != nil {
		previous := d.view.Load().Table
		if previous != nil && previous.Version == d.configuration.Version {
			v.Table = previous
		} else {
			v.Table = wharfroute.New(*d.configuration)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		v.Endpoints = append(v.Endpoints, d.viewed(d.endpoints[id]))
	}
	d.view.Store(v)
	d.options.OnChange(v)
}

// applyEndpoints applies an answer of the store to a poll that started at a time.
func (d *Directory) applyEndpoints(page wharfrecords.Page, full bool, started time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	grace, known := d.endpointSync.recovering(), d.endpointSync.version
	if !d.endpointSync.advance(page.Version, 0) {
		return
	}
	changed := false
	present := map[string]bool{}
	for _, row := range page.Rows {
		present[row.Key] = true
		changed = d.applyRow(row, grace) || changed
	}
	if full {
		for id := range d.endpoints {
			if !present[id] {
				changed = d.markMissing(id, grace) || changed
			}
		}
	}
	changed = d.removeExpired() || changed
	d.matchEvacuations()
	if changed {
		d.publish()
	}
	d.confirm(page, known, started)
}

func (d *Directory) applyRow(row wharfrecords.Row, grace bool) bool {
	if row.Deleted {
		return d.markMissing(row.Key, grace)
	}
	e, err := d.options.Decoder.Endpoint(row)
	if err != nil {
		if _, known := d.endpoints[row.Key]; known {
			klog.InfoS("failed to decode endpoint registration; endpoint removed",
				"endpoint", row.Key, "error", err.Error())
		}
		return d.remove(row.Key, "unreadable")
	}
	known := d.endpoints[e.ID]
	changed := d.register(e, e.ColdRemaining, row.Version)
	d.setPresent(e.ID)
	if registered := d.endpoints[e.ID]; known.endpoint == registered.endpoint {
		return changed
	}
	klog.InfoS("endpoint registered", "endpoint", e.ID, "endpoint-address", e.Address.String(), "service", e.Service,
		"endpoint-version", e.Version, "endpoint-zone", e.Zone, "leaving", e.Leaving, "row-version", row.Version)
	return true
}

// markMissing removes an endpoint whose row is missing. After an outage it keeps the endpoint for reregistrationGrace,
// unless the endpoint was leaving.
func (d *Directory) markMissing(id string, grace bool) bool {
	known, exists := d.endpoints[id]
	if !exists {
		return false
	}
	if known.endpoint.Leaving || !grace {
		return d.remove(id, "row-removed")
	}
	if known.missingSince.IsZero() {
		known.missingSince = time.Now()
		d.endpoints[id] = known
	}
	return false
}

// removeExpired removes the endpoints that did not register again within the grace period.
func (d *Directory) removeExpired() bool {
	changed := false
	for id, known := range d.endpoints {
		if !known.missingSince.IsZero() && time.Since(known.missingSince) > reregistrationGrace {
			changed = d.remove(id, "not-registered-again") || changed
		}
	}
	return changed
}

func (d *Directory) remove(id, reason string) bool {
	if _, exists := d.endpoints[id]; !exists {
		return false
	}
	delete(d.endpoints, id)
	klog.InfoS("endpoint gone", "endpoint", id, "reason", reason, "version", d.endpointSync.version)
	return true
}

// syncFromPeers fetches snapshots from peers while the store does not answer.
func (d *Directory) syncFromPeers(ctx context.Context) {
	attempts := 0
	for wharfpause.For(ctx, peerSyncInterval) {
		d.mu.Lock()
		stale := time.Since(d.configurationSync.confirmedAt) > configurationStaleAfter ||
			time.Since(d.endpointSync.confirmedAt) > endpointsStaleAfter
		d.mu.Unlock()
		if !stale {
			attempts = 0
			continue
		}
		attempts++
		snapshot, err := d.options.FetchSnapshot(ctx, attempts%2 == 0 && attempts <= 2*maxEqualSyncs)
		if err != nil {
			continue // FetchSnapshot logs its errors
		}
		d.Merge(snapshot)
	}
}

// mergeConfiguration applies the configuration and the evacuated zones of a peer's snapshot if they are newer than the local
// ones, and reports whether the view changes. A peer of an older build does not send the zones, nor what its build does not know
// of the configuration, so that neither is used. The caller holds d.mu.
func (d *Directory) mergeConfiguration(s Snapshot) (changed bool) {
	if s.Configuration == nil || s.Evacuations == nil || !d.configurationSync.advance(s.ConfigurationVersion, s.Age) {
		return false
	}
	changed = d.setEvacuations(d.evacuations.set.Merge(s.Evacuations), "peer", s.Age)
	return d.activate(s.Configuration, "peer") || changed
}

// Merge applies the parts of a peer's snapshot that are newer than the local state.
func (d *Directory) Merge(s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mergeConfiguration(s) {
		d.publish()
	}
	if s.EndpointsVersion <= d.endpointSync.version {
		return
	}
	d.endpointSync.advance(s.EndpointsVersion, s.Age)
	changed, present := false, make(map[string]bool, len(s.Endpoints))
	for _, e := range s.Endpoints {
		present[e.ID] = true
		changed = d.register(e, s.remaining(e.ID), s.Written[e.ID]) || changed
	}
	before := len(d.endpoints)
	maps.DeleteFunc(d.endpoints, func(id string, _ registration) bool { return !present[id] })
	if !changed && len(d.endpoints) == before {
		return
	}
	for id := range present {
		d.setPresent(id)
	}
	klog.InfoS("endpoints updated from a peer", "endpoints", len(d.endpoints), "version", s.EndpointsVersion)
	d.publish()
}

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
	// configurationWait is how long the store holds a question for changes: short against the seconds in which a change
	// must be in force, since a connection that has gone silent is noticed only then.
	configurationWait = 1500 * time.Millisecond
	// endpointWait is the same for endpoints, whose rows change several times a second in any case.
	endpointWait = 800 * time.Millisecond
	// endpointPeriod is the least time between two questions for endpoints: every registration renews its row about once
	// a second, and a fourth of the time in which a leaving endpoint must be left alone is enough.
	endpointPeriod = 400 * time.Millisecond
	// replyLimit bounds a question beyond its wait: more than a call to the store itself may take, so that a store that
	// is silent is noticed there.
	replyLimit = time.Second
	// lapseGrace is how long after an outage endpoints whose registration has lapsed are kept: they register again
	// within two seconds.
	lapseGrace = 2300 * time.Millisecond
	// staleConfiguration and staleEndpoints are the ages from which other hosts are asked: beyond the usual time between
	// two answers of the store.
	staleConfiguration = 2200 * time.Millisecond
	staleEndpoints     = time.Second
	// outageAfter is the age of the endpoints, by the store's word or another host's, from which rows that are missing
	// when the store is back may have lapsed during an outage: if only this host was cut off, others have told it.
	outageAfter = 1800 * time.Millisecond
	// learnPeriod is the time between two questions to other hosts.
	learnPeriod = 400 * time.Millisecond
)

// Options are a directory's parts.
type Options struct {
	Store   wharfrecords.Store
	Decoder Decoder
	// FetchSnapshot returns what another host knows that has heard from the store more recently.
	FetchSnapshot func(ctx context.Context) (Snapshot, error)
	// OnChange is called with each new view, one call at a time.
	OnChange func(v *View)
}

// Directory keeps the view up to date; the view may be read from any goroutine.
type Directory struct {
	options   Options
	view      atomic.Pointer[View]
	mu        sync.Mutex
	config    *wharfroute.Configuration
	configAt  confirmation
	endpoints map[string]registered
	endpAt    confirmation
}

// confirmation says up to which version of the store something is known, and since when.
type confirmation struct {
	version  uint64
	at       time.Time
	follower *wharffollower.Follower
}

type registered struct {
	endpoint wharffleet.Endpoint
	lapsed   time.Time // when the row was found missing after an outage
}

// New returns a directory that knows nothing.
func New(options Options) *Directory {
	d := &Directory{options: options, endpoints: map[string]registered{}}
	d.configAt.follower = wharffollower.New("configuration", 0, func() uint64 { return d.versionOf(&d.configAt) })
	d.endpAt.follower = wharffollower.New("endpoints", endpointPeriod, func() uint64 { return d.versionOf(&d.endpAt) })
	d.view.Store(&View{})
	return d
}

// View returns what is known now.
func (d *Directory) View() *View {
	return d.view.Load()
}

func (d *Directory) versionOf(c *confirmation) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.version
}

// SyncedVersion returns the version of the store up to which all is known.
func (d *Directory) SyncedVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(d.configAt.version, d.endpAt.version)
}

// Age returns the time since the store, or a host that it serves, has confirmed the configuration.
func (d *Directory) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.configAt.at)
}

// Snapshot returns what is known, for another host.
func (d *Directory) Snapshot() Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Snapshot{
		Configuration:        d.config,
		ConfigurationVersion: d.configAt.version,
		EndpointsVersion:     d.endpAt.version,
		Age:                  max(time.Since(d.configAt.at), time.Since(d.endpAt.at)),
	}
	for _, r := range d.endpoints {
		s.Endpoints = append(s.Endpoints, r.endpoint)
	}
	return s
}

// Serve follows the store until ctx ends.
func (d *Directory) Serve(ctx context.Context) error {
	var followers sync.WaitGroup
	followers.Go(func() { _ = d.followConfiguration(ctx) }) // it ends with ctx alone
	followers.Go(func() { _ = d.followEndpoints(ctx) })
	followers.Go(func() { d.learn(ctx) })
	followers.Wait()
	return ctx.Err()
}

// recovering reports whether the first answer after an outage is being taken over that this host has not been told of.
func (c *confirmation) recovering() bool {
	return c.follower.Down() && time.Since(c.at) > outageAfter
}

func (d *Directory) followConfiguration(ctx context.Context) error {
	table, key := d.options.Decoder.ConfigurationKey()
	return d.configAt.follower.Serve(ctx, func(ctx context.Context, full bool) error {
		page, err := d.ask(ctx, table, full, &d.configAt, configurationWait)
		if err == nil {
			d.takeConfiguration(page, key)
		}
		return err
	})
}

func (d *Directory) followEndpoints(ctx context.Context) error {
	table := d.options.Decoder.EndpointTable()
	return d.endpAt.follower.Serve(ctx, func(ctx context.Context, full bool) error {
		page, err := d.ask(ctx, table, full, &d.endpAt, endpointWait)
		if err == nil {
			d.takeEndpoints(page, full)
		}
		return err
	})
}

// ask reads a table as a whole, or what has changed in it.
func (d *Directory) ask(ctx context.Context, table string, full bool, at *confirmation, wait time.Duration) (wharfrecords.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyLimit)
	defer cancel()
	if full {
		return wharfrecords.ReadAll(ctx, d.options.Store, wharfrecords.Range{Table: table})
	}
	if at.follower.Down() {
		wait = 0 // what has happened in the outage is told apart from what happens after it
	}
	return d.options.Store.Changes(ctx, table, d.versionOf(at), wait)
}

// confirm records a page of the store and reports whether it is not older than what is known.
func (c *confirmation) confirm(version uint64, age time.Duration) bool {
	if version < c.version {
		return false
	}
	c.version = version
	c.at = time.Now().Add(-age)
	return true
}

func (d *Directory) takeConfiguration(page wharfrecords.Page, key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.configAt.confirm(page.Version, 0) {
		return
	}
	for _, row := range page.Rows {
		if row.Key != key || row.Deleted {
			continue
		}
		configuration, err := d.options.Decoder.Configuration(row.Value)
		if err != nil {
			klog.ErrorS(err, "configuration can not be read; the last one stays in force", "row-version", row.Version)
			continue
		}
		d.adopt(&configuration, "store")
	}
}

// adopt brings a configuration into force unless a newer one is; the lock is held.
func (d *Directory) adopt(configuration *wharfroute.Configuration, source string) {
	if d.config != nil && configuration.Version <= d.config.Version {
		return
	}
	before := uint64(0)
	if d.config != nil {
		before = d.config.Version
	}
	klog.InfoS("configuration in force", "configuration-version", configuration.Version, "before", before, "source", source,
		"routes", len(configuration.Routes), "organisations", len(configuration.Organisations))
	d.config = configuration
	d.publish()
}

// publish makes what is known the present view; the lock is held.
func (d *Directory) publish() {
	v := &View{}
	if d.config != nil {
		previous := d.view.Load().Table
		if previous != nil && previous.Version == d.config.Version {
			v.Table = previous
		} else {
			v.Table = wharfroute.New(*d.config)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		v.Endpoints = append(v.Endpoints, d.endpoints[id].endpoint)
	}
	d.view.Store(v)
	d.options.OnChange(v)
}

func (d *Directory) takeEndpoints(page wharfrecords.Page, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	grace := d.endpAt.recovering()
	if !d.endpAt.confirm(page.Version, 0) {
		return
	}
	changed := false
	seen := map[string]bool{}
	for _, row := range page.Rows {
		seen[row.Key] = true
		changed = d.takeRow(row, grace) || changed
	}
	if full {
		for id := range d.endpoints {
			if !seen[id] {
				changed = d.lapse(id, grace) || changed
			}
		}
	}
	changed = d.expire() || changed
	if changed {
		d.publish()
	}
}

func (d *Directory) takeRow(row wharfrecords.Row, grace bool) bool {
	if row.Deleted {
		return d.lapse(row.Key, grace)
	}
	e, err := d.options.Decoder.Endpoint(row)
	if err != nil {
		if _, known := d.endpoints[row.Key]; known {
			klog.InfoS("endpoint's registration can not be read; it is not used", "endpoint", row.Key, "error", err.Error())
		}
		return d.remove(row.Key, "unreadable")
	}
	known, exists := d.endpoints[e.ID]
	if exists && known.endpoint == e {
		if !known.lapsed.IsZero() {
			d.endpoints[e.ID] = registered{endpoint: e}
		}
		return false
	}
	d.endpoints[e.ID] = registered{endpoint: e}
	klog.InfoS("endpoint registered", "endpoint", e.ID, "endpoint-address", e.Address.String(), "service", e.Service,
		"endpoint-zone", e.Zone, "leaving", e.Leaving, "row-version", row.Version)
	return true
}

// lapse takes an endpoint whose row is missing as gone, but after an outage leaves it time to register again.
func (d *Directory) lapse(id string, grace bool) bool {
	known, exists := d.endpoints[id]
	if !exists {
		return false
	}
	if known.endpoint.Leaving || !grace {
		return d.remove(id, "row-removed")
	}
	if known.lapsed.IsZero() {
		known.lapsed = time.Now()
		d.endpoints[id] = known
	}
	return false
}

// expire removes endpoints that have not registered again in time.
func (d *Directory) expire() bool {
	changed := false
	for id, known := range d.endpoints {
		if !known.lapsed.IsZero() && time.Since(known.lapsed) > lapseGrace {
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
	klog.InfoS("endpoint gone", "endpoint", id, "reason", reason, "version", d.endpAt.version)
	return true
}

// learn asks other hosts while the store does not answer.
func (d *Directory) learn(ctx context.Context) {
	for wharfpause.For(ctx, learnPeriod) {
		d.mu.Lock()
		stale := time.Since(d.configAt.at) > staleConfiguration || time.Since(d.endpAt.at) > staleEndpoints
		d.mu.Unlock()
		if !stale {
			continue
		}
		snapshot, err := d.options.FetchSnapshot(ctx)
		if err != nil {
			continue // Ask logs when it finds no host that knows more
		}
		d.Merge(snapshot)
	}
}

// Merge takes over what another host knows, where that is newer.
func (d *Directory) Merge(s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Configuration != nil && d.configAt.confirm(s.ConfigurationVersion, s.Age) {
		d.adopt(s.Configuration, "peer")
	}
	if s.EndpointsVersion <= d.endpAt.version {
		return
	}
	d.endpAt.confirm(s.EndpointsVersion, s.Age)
	endpoints := make(map[string]registered, len(s.Endpoints))
	for _, e := range s.Endpoints {
		endpoints[e.ID] = registered{endpoint: e}
	}
	if maps.EqualFunc(endpoints, d.endpoints, func(a, b registered) bool { return a.endpoint == b.endpoint }) {
		return
	}
	d.endpoints = endpoints
	klog.InfoS("endpoints learnt from a peer", "endpoints", len(endpoints), "version", s.EndpointsVersion)
	d.publish()
}

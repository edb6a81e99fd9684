package wharfreleases

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfkey"
	"wagtailwharf.example/wharf/state/wharfrank"
)

const (
	table = "wharf-releases"
	// readInterval is the time between two reads of the rows while every registered version has one.
	readInterval = 30 * time.Second
	// retryInterval is the mean time between two reads while a version has none. It doubles with each read that fails, up to
	// maxRetryInterval.
	retryInterval    = 150 * time.Millisecond
	maxRetryInterval = 800 * time.Millisecond
	// addStagger is how long each host in the order of hosts waits for the one before it to add a version.
	addStagger = 300 * time.Millisecond
	// settleTime is the time after a version was added in which no host begins a stream at it. Streams that began at the only
	// version before, of which there are no records, have ended by then.
	settleTime = 1500 * time.Millisecond
	// lingerTime is how long a version without endpoints keeps its row: longer than any stream lives, and longer than hosts
	// that are cut off from the store usually go on with what they know of the endpoints.
	lingerTime  = 10 * time.Minute
	callTimeout = time.Second
)

// ErrNotKnown means that streams of several versions, or of none, may be alive, or that the store did not answer.
var ErrNotKnown = errors.New("the version that began the stream is not known")

// Options are the dependencies of Releases.
type Options struct {
	Store wharfrecords.Store
	Host  string
	Live  func() []string // hosts that are alive, including this one
}

// Releases tracks the versions of services. It is safe for concurrent use.
type Releases struct {
	options  Options
	mu       sync.Mutex
	rows     map[wharfcall.Origin]release
	missing  map[wharfcall.Origin]time.Time // registered versions without a row, since when
	current  map[wharfcall.Origin]bool      // registered versions
	wake     chan struct{}
	snapshot atomic.Pointer[snapshot]
}

// release is what this host knows of a version's row.
type release struct {
	rowVersion  uint64    // 0 if another host has told of it
	admittedAt  time.Time // from when streams may begin
	absentSince time.Time // since when it has no endpoint; zero while it has
}

// snapshot is what is looked up for each request.
type snapshot struct {
	admittedAt map[wharfcall.Origin]time.Time
	versions   map[string]int // number of versions of each service, with and without a row
}

// row is the CBOR value of a version's row.
type row struct {
	Origin wharfcall.Origin `cbor:"1,keyasint"`
	Since  time.Duration    `cbor:"2,keyasint"` // not after it was added, by the store's clock; 0 for a service's first version
}

// New returns Releases that know no versions yet.
func New(options Options) *Releases {
	r := &Releases{
		options: options, rows: map[wharfcall.Origin]release{}, missing: map[wharfcall.Origin]time.Time{},
		current: map[wharfcall.Origin]bool{}, wake: make(chan struct{}, 1),
	}
	r.publish()
	return r
}

// Update replaces the registered endpoints.
func (r *Releases) Update(endpoints []wharffleet.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = map[wharfcall.Origin]bool{}
	for _, e := range endpoints {
		r.current[wharfcall.Origin{Service: e.Service, Version: e.Version}] = true
	}
	r.compare(time.Now())
	if len(r.missing) > 0 {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// compare notes which rows have no endpoints and which endpoints have no row. The caller holds the lock.
func (r *Releases) compare(now time.Time) {
	for origin, known := range r.rows {
		switch {
		case !r.current[origin]:
			if known.absentSince.IsZero() {
				known.absentSince = now
			}
		case !known.absentSince.IsZero() && now.Sub(known.absentSince) > lingerTime/2:
			delete(r.rows, origin) // its row may have been deleted, so it has to be read again
			continue
		default:
			known.absentSince = time.Time{}
		}
		r.rows[origin] = known
	}
	for origin := range r.current {
		if _, known := r.rows[origin]; known {
			delete(r.missing, origin)
		} else if r.missing[origin].IsZero() {
			r.missing[origin] = now
		}
	}
	for origin := range r.missing {
		if !r.current[origin] {
			delete(r.missing, origin)
		}
	}
	r.publish()
}

// publish replaces the snapshot. The caller holds the lock.
func (r *Releases) publish() {
	s := &snapshot{admittedAt: make(map[wharfcall.Origin]time.Time, len(r.rows)), versions: map[string]int{}}
	for origin, known := range r.rows {
		s.admittedAt[origin] = known.admittedAt
		s.versions[origin.Service]++
	}
	for origin := range r.missing {
		s.versions[origin.Service]++
	}
	r.snapshot.Store(s)
}

// Admits reports whether streams may begin at an endpoint.
func (r *Releases) Admits(e *wharffleet.Endpoint, now time.Time) bool {
	at, known := r.snapshot.Load().admittedAt[wharfcall.Origin{Service: e.Service, Version: e.Version}]
	return known && !now.Before(at)
}

// Several reports whether streams of more than one version of a service may be alive, as far as this host knows. It is true
// for a service of which it knows no version.
func (r *Releases) Several(service string) bool {
	return r.snapshot.Load().versions[service] != 1
}

// Mixed reports whether Several holds for any service.
func (r *Releases) Mixed() bool {
	for service := range r.snapshot.Load().versions {
		if r.Several(service) {
			return true
		}
	}
	return false
}

// Admitted returns the versions at which streams may begin.
func (r *Releases) Admitted() []wharfcall.Origin {
	now := time.Now()
	var list []wharfcall.Origin
	for origin, at := range r.snapshot.Load().admittedAt {
		if !now.Before(at) {
			list = append(list, origin)
		}
	}
	return list
}

// Merge adds versions at which streams may begin, as another host has told while the store did not answer this one.
func (r *Releases) Merge(admitted []wharfcall.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, origin := range admitted {
		if _, known := r.rows[origin]; !known {
			r.rows[origin] = release{admittedAt: now}
		}
	}
	r.compare(now)
}

// Only returns the only version of a service that may have streams, as the store knows after the call. It returns an error
// that wraps ErrNotKnown if there are several, none, or no answer.
func (r *Releases) Only(ctx context.Context, service string) (string, error) {
	page, err := wharfrecords.ReadAll(ctx, r.options.Store, wharfrecords.Range{
		Table: table, From: wharfkey.Escape(service) + "/", To: wharfkey.Escape(service) + "0", // "0" follows "/"
	})
	if err != nil {
		return "", errors.Join(ErrNotKnown, err)
	}
	only := ""
	for _, stored := range page.Rows {
		decoded, err := decode(stored)
		switch {
		case err != nil:
			return "", errors.Join(ErrNotKnown, err)
		case decoded.Origin.Service != service || page.Now < decoded.Since+settleTime && decoded.Since > 0:
		case only != "":
			return "", ErrNotKnown
		default:
			only = decoded.Origin.Version
		}
	}
	if only == "" {
		return "", ErrNotKnown
	}
	return only, nil
}

func rowKey(origin wharfcall.Origin) string {
	return wharfkey.Join(origin.Service, origin.Version)
}

func decode(stored wharfrecords.Row) (row, error) {
	var decoded row
	err := cbor.Unmarshal(stored.Value, &decoded)
	return decoded, err
}

// Serve adds and removes rows until ctx is done.
func (r *Releases) Serve(ctx context.Context) error {
	backoff := retryInterval
	for {
		wait := readInterval
		err := r.sync(ctx)
		if err != nil && ctx.Err() == nil {
			if backoff == retryInterval {
				klog.InfoS("failed to read or write the versions of services; trying again", "error", err.Error())
			}
			wait, backoff = backoff/2+rand.N(backoff), min(2*backoff, maxRetryInterval)
		} else {
			backoff = retryInterval
		}
		if err == nil && r.incomplete() {
			wait = retryInterval/2 + rand.N(retryInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		case <-r.wake:
		}
	}
}

func (r *Releases) incomplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.missing) > 0
}

// sync reads all rows, adds those of registered versions and removes those of versions that have gone.
func (r *Releases) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := wharfrecords.ReadAll(ctx, r.options.Store, wharfrecords.Range{Table: table})
	if err != nil {
		return err
	}
	additions, removals := r.apply(page, r.options.Live(), time.Now())
	for _, t := range append(additions, removals...) {
		if _, err := r.options.Store.Commit(ctx, t); err != nil && !errors.Is(err, wharfrecords.ErrConflict) {
			return err
		}
		klog.InfoS("versions of services changed", "added", len(t.Puts), "removed", len(t.Deletes))
	}
	if len(additions) == 0 {
		return nil
	}
	page, err = wharfrecords.ReadAll(ctx, r.options.Store, wharfrecords.Range{Table: table})
	if err == nil {
		r.apply(page, nil, time.Now())
	}
	return err
}

// apply replaces the known rows and returns the changes that this host is to make, none if live is empty.
func (r *Releases) apply(page wharfrecords.Page, live []string, now time.Time) (additions, removals []wharfrecords.Transaction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows, known := make(map[wharfcall.Origin]release, len(page.Rows)), map[string]bool{}
	for _, stored := range page.Rows {
		decoded, err := decode(stored)
		if err != nil {
			klog.ErrorS(err, "failed to decode a version's row", "row", stored.Key, "row-version", stored.Version)
			continue
		}
		before, seen := r.rows[decoded.Origin]
		if !seen {
			before.admittedAt = now.Add(max(0, decoded.Since+settleTime-page.Now))
			if decoded.Since == 0 {
				before.admittedAt = now
			}
			klog.InfoS("version of a service known", "service", decoded.Origin.Service, "version", decoded.Origin.Version,
				"row-version", stored.Version, "admitted-in", before.admittedAt.Sub(now).String())
		}
		before.rowVersion = stored.Version
		rows[decoded.Origin] = before
		known[decoded.Origin.Service] = true
	}
	r.rows = rows
	r.compare(now)
	for origin, since := range r.missing {
		if !r.mayWrite(origin, live, since, now) {
			continue
		}
		added := row{Origin: origin}
		if known[origin.Service] {
			added.Since = page.Now
		}
		if t, err := addition(added); err == nil {
			additions = append(additions, t)
		}
	}
	for origin, gone := range r.rows {
		if gone.absentSince.IsZero() || !r.serves(origin.Service) ||
			!r.mayWrite(origin, live, gone.absentSince.Add(lingerTime), now) {
			continue
		}
		removals = append(removals, wharfrecords.Transaction{
			Conditions: []wharfrecords.Condition{{Table: table, Key: rowKey(origin), Version: gone.rowVersion}},
			Deletes:    []wharfrecords.Row{{Table: table, Key: rowKey(origin)}},
		})
	}
	return additions, removals
}

// mayWrite reports whether it is this host's turn to write a row that has been due since a time.
func (r *Releases) mayWrite(origin wharfcall.Origin, live []string, since, now time.Time) bool {
	rank := slices.Index(wharfrank.Order(rowKey(origin), live), r.options.Host)
	return rank >= 0 && now.Sub(since) >= time.Duration(rank)*addStagger
}

// serves reports whether a service has registered endpoints. The caller holds the lock.
func (r *Releases) serves(service string) bool {
	for origin := range r.current {
		if origin.Service == service {
			return true
		}
	}
	return false
}

// addition returns the transaction that adds a row unless it exists.
func addition(added row) (wharfrecords.Transaction, error) {
	value, err := cbor.Marshal(added)
	if err != nil {
		klog.ErrorS(err, "failed to encode a version's row", "service", added.Origin.Service, "version", added.Origin.Version)
		return wharfrecords.Transaction{}, err
	}
	key := rowKey(added.Origin)
	return wharfrecords.Transaction{
		Conditions: []wharfrecords.Condition{{Table: table, Key: key}},
		Puts:       []wharfrecords.Row{{Table: table, Key: key, Value: value}},
	}, nil
}

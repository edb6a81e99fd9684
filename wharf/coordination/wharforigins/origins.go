package wharforigins

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/coordination/wharfreleases"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharfkey"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfroute"
)

const (
	table = "wharf-streams"
	// partCount is the number of parts of the table, by the hash of a record's key. A part takes some 200 transactions a second
	// on known platforms.
	partCount = 16
	// maxRowsPerWrite is the largest number of rows in one transaction on known platforms.
	maxRowsPerWrite = 100
	// maxPending bounds the records that wait for a write to one part. More than that are not written.
	maxPending   = 500
	writeTimeout = 2 * time.Second
	// recordWait is how long an event is held back at most, about half of the time in which an event may be passed on late.
	recordWait = 50 * time.Millisecond
	// suspension is how long no event is held back after a record took longer than that.
	suspension = time.Second
	// lookupTimeout bounds the lookup of a stream: many times as long as the store takes.
	lookupTimeout = 400 * time.Millisecond
	// retention is how long a record is kept: several times as long as callers wait for a stream.
	retention = time.Minute
	// sweepInterval is the time between two sweeps for old records.
	sweepInterval = 15 * time.Second
)

// Options are the dependencies of Origins.
type Options struct {
	Store    wharfrecords.Store
	Releases *wharfreleases.Releases
	Host     string
	Live     func() []string // hosts that are alive, including this one
	Count    func(name string)
}

// Origins records where streams began. It is safe for concurrent use.
type Origins struct {
	options   Options
	mu        sync.Mutex
	suspended time.Time // until when no event is held back
	parts     [partCount]part
}

// part is the state of one part of the table.
type part struct {
	pending  []record // guarded by Origins.mu
	wake     chan struct{}
	sweeps   []sweep // recent reads of the part, oldest first; used by the sweeper alone
	occupied bool    // the last sweep found records that are too new to be removed
}

// record is a row that is to be written.
type record struct {
	row    wharfrecords.Row
	stored chan struct{} // closed when the row is stored
}

// sweep is a store version that was current at a time.
type sweep struct {
	at      time.Time
	version uint64
}

// New returns Origins without records to write.
func New(options Options) *Origins {
	o := &Origins{options: options}
	for i := range o.parts {
		o.parts[i].wake = make(chan struct{}, 1)
	}
	return o
}

// keyOf returns the key and the part of a stream's record. ok is false if there can be none.
func keyOf(organisation, stream string) (key string, index int, ok bool) {
	if stream == "" {
		return "", 0, false
	}
	key = wharfkey.Join(organisation, stream)
	return key, int(xxhash.Sum64String(key) % partCount), true
}

func partName(index int) string {
	return string(rune('a' + index))
}

// Record records the origin of a stream whose first event has arrived, if a take-up could not tell it otherwise. It returns
// when the record is stored, or after recordWait.
func (o *Origins) Record(organisation, stream string, route *wharfroute.Route, origin wharfcall.Origin) {
	if len(route.Targets) == 1 && !o.options.Releases.Several(origin.Service) {
		return
	}
	stored := o.enqueue(organisation, stream, origin)
	if stored == nil {
		o.options.Count("stream-records-dropped")
		return
	}
	o.mu.Lock()
	suspended := time.Now().Before(o.suspended)
	o.mu.Unlock()
	if suspended {
		return
	}
	timeout := time.NewTimer(recordWait)
	defer timeout.Stop()
	select {
	case <-stored:
	case <-timeout.C:
		o.options.Count("stream-records-late")
		o.mu.Lock()
		o.suspended = time.Now().Add(suspension)
		o.mu.Unlock()
	}
}

// enqueue has a record written and returns a channel that is closed when it is stored, or nil if it is not written.
func (o *Origins) enqueue(organisation, stream string, origin wharfcall.Origin) <-chan struct{} {
	key, index, ok := keyOf(organisation, stream)
	if !ok {
		return nil
	}
	value, err := cbor.Marshal(origin)
	if err != nil {
		klog.ErrorS(err, "failed to encode the origin of a stream", "request-id", stream)
		return nil
	}
	stored := make(chan struct{})
	o.mu.Lock()
	defer o.mu.Unlock()
	p := &o.parts[index]
	if len(p.pending) >= maxPending {
		return nil
	}
	p.pending = append(p.pending, record{
		row: wharfrecords.Row{Table: table, Part: partName(index), Key: key, Value: value}, stored: stored,
	})
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return stored
}

// Find returns the service and version that began a stream which a caller takes up, as the store knows after the call. It
// returns an error that wraps wharfreleases.ErrNotKnown if the store does not tell.
func (o *Origins) Find(
	ctx context.Context, organisation, stream string, route *wharfroute.Route,
) (wharfcall.Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if len(route.Targets) != 1 {
		return o.lookUp(ctx, organisation, stream)
	}
	service := route.Targets[0].Service
	if o.options.Releases.Several(service) {
		if origin, err := o.lookUp(ctx, organisation, stream); err == nil {
			return origin, nil
		}
		version, err := o.options.Releases.Only(ctx, service)
		return wharfcall.Origin{Service: service, Version: version}, err
	}
	if version, err := o.options.Releases.Only(ctx, service); err == nil {
		return wharfcall.Origin{Service: service, Version: version}, nil
	}
	return o.lookUp(ctx, organisation, stream)
}

// lookUp reads a stream's record.
func (o *Origins) lookUp(ctx context.Context, organisation, stream string) (wharfcall.Origin, error) {
	key, index, ok := keyOf(organisation, stream)
	if !ok {
		return wharfcall.Origin{}, wharfreleases.ErrNotKnown
	}
	page, err := o.options.Store.Read(ctx, wharfrecords.Range{
		Table: table, Part: partName(index), From: key, To: key + "\x00", Limit: 1,
	})
	var origin wharfcall.Origin
	if err != nil || len(page.Rows) == 0 || cbor.Unmarshal(page.Rows[0].Value, &origin) != nil {
		return wharfcall.Origin{}, wharfreleases.ErrNotKnown
	}
	return origin, nil
}

// Serve writes records and removes old ones until ctx is done.
func (o *Origins) Serve(ctx context.Context) error {
	var writers sync.WaitGroup
	for i := range o.parts {
		writers.Go(func() { o.writePart(ctx, &o.parts[i]) })
	}
	for wharfpause.For(ctx, sweepInterval/2+rand.N(sweepInterval)) {
		o.sweepAll(ctx)
	}
	writers.Wait()
	return ctx.Err()
}

// writePart writes the records of one part, one transaction after another, so that records that come meanwhile share one.
func (o *Origins) writePart(ctx context.Context, p *part) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for batch := o.takeBatch(p); len(batch) > 0; batch = o.takeBatch(p) {
			o.write(ctx, batch)
		}
	}
}

func (o *Origins) takeBatch(p *part) []record {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := min(len(p.pending), maxRowsPerWrite)
	batch := p.pending[:size:size]
	p.pending = p.pending[size:]
	return batch
}

// write stores records. One that can't be stored is not tried again: its stream lives for a second or so, and is refused if
// it is taken up.
func (o *Origins) write(ctx context.Context, batch []record) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	t := wharfrecords.Transaction{Part: batch[0].row.Part}
	for _, r := range batch {
		t.Puts = append(t.Puts, r.row)
	}
	if _, err := o.options.Store.Commit(ctx, t); err != nil {
		o.options.Count("stream-records-failed")
		klog.V(1).InfoS("failed to record where streams began", "records", len(batch), "error", err.Error())
		return
	}
	for _, r := range batch {
		close(r.stored)
	}
}

// sweepAll removes the old records of the parts for which this host ranks first, while there may be any.
func (o *Origins) sweepAll(ctx context.Context) {
	live := o.options.Live()
	mixed := o.options.Releases.Mixed()
	for i := range o.parts {
		p := &o.parts[i]
		if wharfrank.First(table+partName(i), live) != o.options.Host || !mixed && !p.occupied && len(p.sweeps) > 0 {
			continue
		}
		if err := o.sweepPart(ctx, p, partName(i)); err != nil && ctx.Err() == nil {
			klog.InfoS("failed to remove old records of streams", "part", partName(i), "error", err.Error())
		}
	}
}

// sweepPart removes the records that were there retention ago.
func (o *Origins) sweepPart(ctx context.Context, p *part, name string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	page, err := wharfrecords.ReadAll(ctx, o.options.Store, wharfrecords.Range{Table: table, Part: name})
	if err != nil {
		return err
	}
	now, old := time.Now(), uint64(0)
	p.sweeps = append(p.sweeps, sweep{now, page.Version})
	for len(p.sweeps) > 1 && now.Sub(p.sweeps[1].at) >= retention {
		p.sweeps = p.sweeps[1:]
	}
	if now.Sub(p.sweeps[0].at) >= retention {
		old = p.sweeps[0].version
	}
	var expired []wharfrecords.Row
	for _, row := range page.Rows {
		if row.Version <= old {
			expired = append(expired, wharfrecords.Row{Table: table, Key: row.Key})
		}
	}
	p.occupied = len(expired) < len(page.Rows)
	for len(expired) > 0 {
		size := min(len(expired), maxRowsPerWrite)
		if _, err := o.options.Store.Commit(ctx, wharfrecords.Transaction{Part: name, Deletes: expired[:size]}); err != nil {
			p.occupied = true
			return err
		}
		expired = expired[size:]
	}
	return nil
}

package wharfblocklist

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharffollower"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfcrash"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	table = "wharf-blocked"
	// pollWait is how long the store may hold a poll. A dead connection is noticed only when a poll times out, and a host
	// that is cut off from the others must know a verdict within a few seconds.
	pollWait     = 2 * time.Second
	replyTimeout = time.Second
	// pollInterval bounds the polls while rows change in quick succession.
	pollInterval = 100 * time.Millisecond
	// writeTimeout bounds a write, and writeInterval is the time between two attempts to make the pending ones.
	writeTimeout  = time.Second
	writeInterval = 300 * time.Millisecond
)

// List is the table of verdicts in the store. It is safe for concurrent use.
type List struct {
	store    wharfrecords.Store
	tracker  *wharfcrash.Tracker
	follower *wharffollower.Follower
	mu       sync.Mutex
	version  uint64
	rows     map[wharfcrash.Identity]uint64 // version of the row of each identity
	own      map[wharfcrash.Identity]bool   // identities that this host has published
	pending  map[wharfcrash.Identity]change
	wake     chan struct{}
}

// change is a write that has not been made yet: of a verdict, or the removal of its row.
type change struct {
	verdict wharfcrash.Verdict
	remove  bool
	after   time.Time // another host probably writes it before this time
}

// New returns a list that brings the verdicts in store into tracker.
func New(store wharfrecords.Store, tracker *wharfcrash.Tracker) *List {
	l := &List{
		store: store, tracker: tracker, rows: map[wharfcrash.Identity]uint64{},
		own: map[wharfcrash.Identity]bool{}, pending: map[wharfcrash.Identity]change{}, wake: make(chan struct{}, 1),
	}
	l.follower = wharffollower.New("blocked requests", pollInterval, l.knownVersion)
	return l
}

func (l *List) knownVersion() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// Publish writes a verdict unless another host has done so within the delay.
func (l *List) Publish(v wharfcrash.Verdict, delay time.Duration) {
	l.mu.Lock()
	l.pending[v.Identity] = change{verdict: v, after: time.Now().Add(delay)}
	l.mu.Unlock()
	l.notify()
}

// Withdraw removes the verdicts about identities which this host has published or, with all set, that it has read.
func (l *List) Withdraw(ids []wharfcrash.Identity, all bool) {
	l.mu.Lock()
	for _, id := range ids {
		delete(l.pending, id)
		if l.own[id] || all && l.rows[id] != 0 {
			l.pending[id] = change{remove: true}
		}
		delete(l.own, id)
	}
	l.mu.Unlock()
	l.notify()
}

func (l *List) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Serve follows the table and makes the pending writes until ctx is done.
func (l *List) Serve(ctx context.Context) error {
	var writer sync.WaitGroup
	writer.Go(func() { l.writeLoop(ctx) })
	err := l.follower.Serve(ctx, l.poll)
	writer.Wait()
	return err
}

func (l *List) poll(ctx context.Context, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+replyTimeout)
	defer cancel()
	if full {
		page, err := wharfrecords.ReadAll(ctx, l.store, wharfrecords.Range{Table: table})
		if err == nil {
			l.apply(page, true)
		}
		return err
	}
	page, err := l.store.Changes(ctx, table, l.knownVersion(), pollWait)
	if err == nil {
		l.apply(page, false)
	}
	return err
}

// apply brings rows into the tracker.
func (l *List) apply(page wharfrecords.Page, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = max(l.version, page.Version)
	if full {
		clear(l.rows)
	}
	for _, row := range page.Rows {
		number, err := strconv.ParseUint(row.Key, 16, 64)
		id := wharfcrash.Identity(number)
		if err != nil {
			klog.ErrorS(err, "skipping blocked request with an invalid key", "row-version", row.Version)
			continue
		}
		if row.Deleted {
			delete(l.rows, id)
			l.tracker.Clear([]wharfcrash.Identity{id})
			klog.InfoS("request unblocked", "identity", row.Key, "source", "store", "row-version", row.Version)
			continue
		}
		var v wharfcrash.Verdict
		if err := cbor.Unmarshal(row.Value, &v); err != nil {
			klog.ErrorS(err, "skipping undecodable blocked request", "identity", row.Key, "row-version", row.Version)
			continue
		}
		v.Identity = id
		l.rows[id] = row.Version
		if wharfcrash.Expired(v, time.Now()) {
			l.pending[id] = change{remove: true}
			l.notify()
			continue
		}
		l.tracker.Block(v, time.Now())
		klog.InfoS("request blocked", "identity", row.Key, "crashes", v.Crashes, "age", time.Since(v.At).String(),
			"source", "store", "row-version", row.Version)
	}
}

// writeLoop makes the pending writes until ctx is done.
func (l *List) writeLoop(ctx context.Context) {
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		for l.writePending(ctx) {
			if !wharfpause.For(ctx, writeInterval) {
				return
			}
		}
	}
}

// writePending makes the writes that are due and reports whether others are left.
func (l *List) writePending(ctx context.Context) (left bool) {
	l.mu.Lock()
	due := map[wharfcrash.Identity]change{}
	for id, c := range l.pending {
		switch {
		case !c.remove && l.rows[id] != 0:
			delete(l.pending, id) // written by another host
		case time.Now().Before(c.after):
			left = true
		default:
			due[id] = c
		}
	}
	l.mu.Unlock()
	for id, c := range due {
		if err := l.write(ctx, id, c); err != nil {
			klog.InfoS("failed to write blocked request; retrying", "identity", id.String(), "error", err.Error())
			left = true
			continue
		}
		l.mu.Lock()
		if l.pending[id] == c {
			delete(l.pending, id)
		}
		l.mu.Unlock()
	}
	return left
}

func (l *List) write(ctx context.Context, id wharfcrash.Identity, c change) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	row := wharfrecords.Row{Table: table, Key: id.String()}
	if c.remove {
		_, err := l.store.Commit(ctx, wharfrecords.Transaction{Deletes: []wharfrecords.Row{row}})
		return err
	}
	l.mu.Lock()
	l.own[id] = true // also if the reply is lost
	l.mu.Unlock()
	var err error
	if row.Value, err = cbor.Marshal(c.verdict); err != nil {
		return err
	}
	_, err = l.store.Commit(ctx, wharfrecords.Transaction{Puts: []wharfrecords.Row{row}})
	return err
}

package wharfrelay

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfregion"
)

// faultyStore is a store whose reads and commits fail for one host while a fault is set.
type faultyStore struct {
	*wharfmemorystore.Store
	fault atomic.Pointer[error]
}

func (s *faultyStore) setFault(err error) { s.fault.Store(&err) }

func (s *faultyStore) err() error {
	if err := s.fault.Load(); err != nil {
		return *err
	}
	return nil
}

func (s *faultyStore) Read(ctx context.Context, r wharfrecords.Range) (wharfrecords.Page, error) {
	if err := s.err(); err != nil {
		return wharfrecords.Page{}, err
	}
	return s.Store.Read(ctx, r)
}

func (s *faultyStore) Commit(ctx context.Context, t wharfrecords.Transaction) (wharfrecords.Page, error) {
	if err := s.err(); err != nil {
		return wharfrecords.Page{}, err
	}
	return s.Store.Commit(ctx, t)
}

type fixture struct {
	faultyStore *faultyStore
	store       *Store
	peers       []wharfgossip.Peer
	relayed     int
	loseReplies bool
}

func newFixture(shared *wharfmemorystore.Store) *fixture {
	f := &fixture{faultyStore: &faultyStore{Store: shared}}
	other := New(Options{Direct: shared, Peers: func() []wharfgossip.Peer { return nil }})
	f.store = New(Options{
		Direct: f.faultyStore,
		Zone:   "zone",
		Peers:  func() []wharfgossip.Peer { return f.peers },
		Call: func(_ context.Context, _ wharfgossip.Peer, r Request) (Reply, error) {
			f.relayed++
			reply := other.Handle(r)
			if f.loseReplies {
				return Reply{}, errors.New("no reply")
			}
			return reply, nil
		},
	})
	f.peers = []wharfgossip.Peer{
		{Host: "other", Presence: wharfgossip.Alive, Status: wharfgossip.Status{Served: true}},
	}
	return f
}

func put(key string) wharfrecords.Transaction {
	return wharfrecords.Transaction{
		Conditions: []wharfrecords.Condition{{Table: "t", Key: key}},
		Puts:       []wharfrecords.Row{{Table: "t", Key: key, Value: []byte(key)}},
	}
}

func TestCallsAreRelayedWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := wharfmemorystore.New()
		f := newFixture(shared)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.store.Serve(ctx) }()
		_, err := f.store.Commit(ctx, put("a"))
		assert.NilError(t, err)
		assert.Equal(t, f.relayed, 0)
		f.faultyStore.setFault(wharfrecords.ErrUnavailable)
		_, err = f.store.Commit(ctx, put("b"))
		assert.NilError(t, err)
		_, err = f.store.Commit(ctx, put("a"))
		assert.Assert(t, errors.Is(err, wharfrecords.ErrConflict), "errors of the store itself are passed on")
		page, err := f.store.Read(ctx, wharfrecords.Range{Table: "t"})
		assert.NilError(t, err)
		assert.Equal(t, len(page.Rows), 2)
		assert.NilError(t, f.store.PutObject(ctx, "o", []byte("data")))
		data, err := f.store.GetObject(ctx, "o")
		assert.NilError(t, err)
		assert.Equal(t, string(data), "data")
		page, err = f.store.Changes(ctx, "t", page.Version, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Rows), 0)
		assert.Assert(t, !f.store.Reachable())
		f.faultyStore.setFault(nil)
		time.Sleep(2 * probeInterval)
		assert.Assert(t, f.store.Reachable(), "a probe detects that the store is reachable again")
		before := f.relayed
		_, err = f.store.Commit(ctx, put("c"))
		assert.NilError(t, err)
		assert.Equal(t, f.relayed, before)
		cancel()
		<-done
	})
}

func TestWriteWithLostReplyIsUnknownAndNotRetried(t *testing.T) {
	shared := wharfmemorystore.New()
	f := newFixture(shared)
	f.faultyStore.setFault(wharfrecords.ErrUnknown)
	_, err := f.store.Commit(context.Background(), put("a"))
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnknown))
	assert.Equal(t, f.relayed, 0)
	f.loseReplies = true
	_, err = f.store.Commit(context.Background(), put("b"))
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnknown), "the transaction was applied although the reply was lost")
	_, err = f.store.Read(context.Background(), wharfrecords.Range{Table: "t"})
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnavailable), "a read with a lost reply is unavailable, not unknown")
}

func TestStoreUnavailableToAllHosts(t *testing.T) {
	f := newFixture(wharfmemorystore.New())
	f.faultyStore.setFault(wharfrecords.ErrUnavailable)
	f.peers[0].Status.Served = false
	_, err := f.store.Commit(context.Background(), put("a"))
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnavailable))
	assert.Equal(t, f.relayed, 0)
}

// TestCancelledCallDoesNotMarkStoreDown guards against logging a store outage when a shutdown or a disconnecting
// caller cancels a call.
func TestCancelledCallDoesNotMarkStoreDown(t *testing.T) {
	f := newFixture(wharfmemorystore.New())
	f.faultyStore.setFault(wharfrecords.ErrUnknown)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.store.Commit(ctx, put("a"))
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnknown))
	assert.Assert(t, f.store.Reachable())
}

// TestBodiesAreRelayedWithinTheirRegions guards against the body of a batch job's item that is sent to a host of another region
// because the store does not answer this one.
func TestBodiesAreRelayedWithinTheirRegions(t *testing.T) {
	regions := wharfregion.Map{"zone": "a", "near": "a", "far": "b"}
	for _, c := range []struct {
		zone    string
		regions []string
		relayed bool
	}{
		{"far", nil, true}, {"far", []string{"a"}, false}, {"far", []string{"a", "b"}, true}, {"near", []string{"c"}, true},
		{"unknown", []string{"a"}, false}, {"unknown", nil, true},
	} {
		f := newFixture(wharfmemorystore.New())
		f.store.options.Regions = regions
		f.peers[0].Zone = c.zone
		f.store.setDown(true, wharfrecords.ErrUnavailable)
		err := f.store.PutObject(wharfregion.WithLimit(t.Context(), c.regions), "body", []byte("x"))
		assert.NilError(t, err, "without a host, the store is called directly")
		assert.Equal(t, f.relayed > 0, c.relayed, "%+v", c)
	}
}

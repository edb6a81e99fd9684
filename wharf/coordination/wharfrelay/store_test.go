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
)

// gate stands between one host and the store.
type gate struct {
	*wharfmemorystore.Store
	fault atomic.Pointer[error]
}

func (g *gate) set(err error) { g.fault.Store(&err) }

func (g *gate) err() error {
	if err := g.fault.Load(); err != nil {
		return *err
	}
	return nil
}

func (g *gate) Read(ctx context.Context, r wharfrecords.Range) (wharfrecords.Page, error) {
	if err := g.err(); err != nil {
		return wharfrecords.Page{}, err
	}
	return g.Store.Read(ctx, r)
}

func (g *gate) Commit(ctx context.Context, t wharfrecords.Transaction) (wharfrecords.Page, error) {
	if err := g.err(); err != nil {
		return wharfrecords.Page{}, err
	}
	return g.Store.Commit(ctx, t)
}

type fixture struct {
	gate    *gate
	store   *Store
	peers   []wharfgossip.Peer
	relayed int
	lost    bool
}

func newFixture(shared *wharfmemorystore.Store) *fixture {
	f := &fixture{gate: &gate{Store: shared}}
	other := New(Options{Direct: shared, Peers: func() []wharfgossip.Peer { return nil }})
	f.store = New(Options{
		Direct: f.gate,
		Zone:   "zone",
		Peers:  func() []wharfgossip.Peer { return f.peers },
		Call: func(_ context.Context, _ wharfgossip.Peer, r Request) (Reply, error) {
			f.relayed++
			reply := other.Handle(r)
			if f.lost {
				return Reply{}, errors.New("no reply")
			}
			return reply, nil
		},
	})
	f.peers = []wharfgossip.Peer{{Host: "other", Presence: wharfgossip.Alive, LastMessage: &wharfgossip.Message{Served: true}}}
	return f
}

func put(key string) wharfrecords.Transaction {
	return wharfrecords.Transaction{
		Conditions: []wharfrecords.Condition{{Table: "t", Key: key}},
		Puts:       []wharfrecords.Row{{Table: "t", Key: key, Value: []byte(key)}},
	}
}

func TestCallsGoThroughOthersWhileTheStoreTurnsThisHostAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := wharfmemorystore.New()
		f := newFixture(shared)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.store.Serve(ctx) }()
		_, err := f.store.Commit(ctx, put("a"))
		assert.NilError(t, err)
		assert.Equal(t, f.relayed, 0)
		f.gate.set(wharfrecords.ErrUnavailable)
		_, err = f.store.Commit(ctx, put("b"))
		assert.NilError(t, err)
		_, err = f.store.Commit(ctx, put("a"))
		assert.Assert(t, errors.Is(err, wharfrecords.ErrConflict), "the store's own errors come through")
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
		f.gate.set(nil)
		time.Sleep(2 * probePeriod)
		assert.Assert(t, f.store.Reachable(), "a probe finds the store again")
		before := f.relayed
		_, err = f.store.Commit(ctx, put("c"))
		assert.NilError(t, err)
		assert.Equal(t, f.relayed, before)
		cancel()
		<-done
	})
}

func TestWriteWhoseReplyIsLostIsUnknownAndNotMadeAgain(t *testing.T) {
	shared := wharfmemorystore.New()
	f := newFixture(shared)
	f.gate.set(wharfrecords.ErrUnknown)
	_, err := f.store.Commit(context.Background(), put("a"))
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnknown))
	assert.Equal(t, f.relayed, 0)
	f.lost = true
	_, err = f.store.Commit(context.Background(), put("b"))
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnknown), "it was done though the reply is missing")
	_, err = f.store.Read(context.Background(), wharfrecords.Range{Table: "t"})
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnavailable), "a lost answer to a question is no doubt")
}

func TestOutageForAllIsAnOutage(t *testing.T) {
	f := newFixture(wharfmemorystore.New())
	f.gate.set(wharfrecords.ErrUnavailable)
	f.peers[0].LastMessage.Served = false
	_, err := f.store.Commit(context.Background(), put("a"))
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnavailable))
	assert.Equal(t, f.relayed, 0)
}

// TestCallerThatLeavesSaysNothingOfTheStore: a planned stop and callers that leave were logged as an outage.
func TestCallerThatLeavesSaysNothingOfTheStore(t *testing.T) {
	f := newFixture(wharfmemorystore.New())
	f.gate.set(wharfrecords.ErrUnknown)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.store.Commit(ctx, put("a"))
	assert.Assert(t, errors.Is(err, wharfrecords.ErrUnknown))
	assert.Assert(t, f.store.Reachable())
}

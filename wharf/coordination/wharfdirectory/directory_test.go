package wharfdirectory

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharffollower"
	"wagtailwharf.example/wharf/coordination/wharfmemorystore"
	"wagtailwharf.example/wharf/coordination/wharfmonotone"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// decoder reads rows whose value is a configuration version or an endpoint's state.
type decoder struct{}

func (decoder) ConfigurationKey() (table, key string) { return "configuration", "newest" }
func (decoder) EndpointTable() string                 { return "endpoints" }

func (decoder) EvacuatedZone(key string) (zone string, found bool) {
	return strings.CutPrefix(key, "empty:")
}

func (decoder) Configuration(value []byte) (wharfroute.Configuration, error) {
	text, limited := strings.CutSuffix(string(value), " with cold limit")
	version, err := strconv.ParseUint(text, 10, 64)
	c := wharfroute.Configuration{Version: version}
	if limited {
		c.Services = []wharfroute.Service{{ColdPerSecond: 8.3, ColdStart: 9 * time.Second}}
	}
	return c, err
}

func (decoder) Endpoint(row wharfrecords.Row) (wharffleet.Endpoint, error) {
	if string(row.Value) == "unreadable" {
		return wharffleet.Endpoint{}, errors.New("unreadable")
	}
	e := wharffleet.Endpoint{ID: row.Key, Zone: "zone", Leaving: string(row.Value) == "leaving"}
	if remaining, cold := strings.CutPrefix(string(row.Value), "cold "); cold {
		var err error
		e.ColdRemaining, err = time.ParseDuration(remaining)
		return e, err
	}
	return e, nil
}

type fixture struct {
	t         *testing.T
	store     *wharfmemorystore.Store
	directory *Directory
	peer      atomic.Pointer[Directory] // answers FetchSnapshot if not nil
	views     atomic.Int64
	written   atomic.Pointer[map[string]time.Time] // last argument of OnWritten by endpoint
	equal     atomic.Bool                          // the peer does not look newer, and answers only if it need not be
	asked     atomic.Int64                         // calls for peers that need not be newer
}

// run runs a test in a synctest bubble with a directory that follows a store.
func run(t *testing.T, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, store: wharfmemorystore.New()}
		f.directory = New(Options{
			Store:         wharfmonotone.New(f.store),
			Decoder:       decoder{},
			FetchSnapshot: f.fetchSnapshot,
			OnChange:      func(*View) { f.views.Add(1) },
			OnWritten:     f.onWritten,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		f.configure(1)
		f.register("a", "ready")
		f.register("b", "ready")
		go func() {
			_ = f.directory.Serve(ctx)
			close(done)
		}()
		f.sleep(time.Second)
		test(f)
		cancel()
		<-done
	})
}

func (f *fixture) fetchSnapshot(_ context.Context, orEqual bool) (Snapshot, error) {
	if orEqual {
		f.asked.Add(1)
	}
	if peer := f.peer.Load(); peer != nil && (orEqual || !f.equal.Load()) {
		return peer.Snapshot(), nil
	}
	return Snapshot{}, errors.New("no peer")
}

func (f *fixture) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *fixture) apply(transaction wharfrecords.Transaction) {
	_, err := f.store.Apply(transaction)
	assert.NilError(f.t, err)
}

func (f *fixture) configure(version uint64) {
	f.apply(wharfrecords.Transaction{Puts: []wharfrecords.Row{
		{Table: "configuration", Key: "newest", Value: []byte(fmt.Sprint(version))},
	}})
}

func (f *fixture) register(id, state string) {
	f.apply(wharfrecords.Transaction{Puts: []wharfrecords.Row{{Table: "endpoints", Key: id, Value: []byte(state)}}})
}

func (f *fixture) unregister(id string) {
	f.apply(wharfrecords.Transaction{Deletes: []wharfrecords.Row{{Table: "endpoints", Key: id}}})
}

func (f *fixture) endpoints() string {
	text := ""
	for _, e := range f.directory.View().Endpoints {
		text += e.ID
		if e.Leaving {
			text += "(leaving)"
		}
	}
	return text
}

func (f *fixture) version() uint64 { return f.directory.View().Table.Version }

func (f *fixture) down() {
	f.store.SetFault(func(string) error { return wharfrecords.ErrUnavailable })
}

func (f *fixture) up() { f.store.SetFault(nil) }

func TestChangesAreApplied(t *testing.T) {
	run(t, func(f *fixture) {
		assert.Equal(t, f.endpoints(), "ab")
		assert.Equal(t, f.version(), uint64(1))
		f.configure(2)
		f.register("b", "leaving")
		f.register("c", "ready")
		f.unregister("a")
		f.sleep(endpointPollInterval + 10*time.Millisecond)
		assert.Equal(t, f.endpoints(), "b(leaving)c")
		assert.Equal(t, f.version(), uint64(2))
		f.register("b", "unreadable")
		f.sleep(endpointPollInterval + 10*time.Millisecond)
		assert.Equal(t, f.endpoints(), "c", "an endpoint whose row can't be decoded is removed")
	})
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	run(t, func(f *fixture) {
		f.configure(5)
		f.sleep(time.Second)
		f.configure(4)
		f.directory.Merge(Snapshot{Configuration: &wharfroute.Configuration{Version: 3}, ConfigurationVersion: 1 << 40})
		f.sleep(time.Second)
		assert.Equal(t, f.version(), uint64(5))
	})
}

func TestDroppedHistoryTriggersFullRead(t *testing.T) {
	run(t, func(f *fixture) {
		f.down()
		f.sleep(500 * time.Millisecond)
		f.configure(2)
		f.register("c", "ready")
		f.unregister("a")
		f.store.DropHistory()
		f.up()
		f.sleep(3 * time.Second)
		assert.Equal(t, f.endpoints(), "bc")
		assert.Equal(t, f.version(), uint64(2))
	})
}

func TestOutageKeepsLastKnownState(t *testing.T) {
	run(t, func(f *fixture) {
		f.down()
		f.sleep(time.Minute)
		assert.Equal(t, f.endpoints(), "ab")
		assert.Equal(t, f.version(), uint64(1))
		assert.Assert(t, f.directory.Age() > 50*time.Second)
	})
}

func TestMissingRegistrationsGetGraceAfterOutage(t *testing.T) {
	run(t, func(f *fixture) {
		f.down()
		f.sleep(5 * time.Second)
		f.unregister("a")
		f.unregister("b")
		f.up()
		f.sleep(1500 * time.Millisecond)
		assert.Equal(t, f.endpoints(), "ab", "endpoints are kept during the grace period")
		f.register("b", "ready")
		f.sleep(reregistrationGrace + endpointPollWait + endpointPollInterval)
		assert.Equal(t, f.endpoints(), "b")
	})
}

func TestEndpointUnregisteredAfterOutageIsRemovedImmediately(t *testing.T) {
	run(t, func(f *fixture) {
		f.down()
		f.sleep(5 * time.Second)
		f.up()
		f.sleep(1500 * time.Millisecond)
		f.unregister("a")
		f.sleep(endpointPollInterval + 10*time.Millisecond)
		assert.Equal(t, f.endpoints(), "b")
	})
}

func TestHostWithoutStoreSyncsFromPeersWithoutGrace(t *testing.T) {
	run(t, func(f *fixture) {
		other := New(Options{Store: f.store, Decoder: decoder{}, OnChange: func(*View) {}})
		syncOther := func() {
			page, err := wharfrecords.ReadAll(t.Context(), f.store, wharfrecords.Range{Table: "endpoints"})
			assert.NilError(t, err)
			other.applyEndpoints(page, true, time.Now())
			page, err = wharfrecords.ReadAll(t.Context(), f.store, wharfrecords.Range{Table: "configuration"})
			assert.NilError(t, err)
			other.applyConfiguration(page, "newest", true)
		}
		syncOther()
		f.peer.Store(other)
		f.store.SetFault(func(call string) error {
			if call == "changes" {
				return wharfrecords.ErrUnavailable
			}
			return nil
		})
		f.sleep(3 * time.Second)
		f.configure(2)
		f.unregister("a")
		syncOther()
		f.sleep(2*peerSyncInterval + 10*time.Millisecond)
		assert.Equal(t, f.endpoints(), "b")
		assert.Equal(t, f.version(), uint64(2))
		f.unregister("b")
		syncOther()
		f.up()
		f.sleep(2*wharffollower.MaxBackoff + 10*time.Millisecond)
		assert.Equal(t, f.endpoints(), "", "the peer had the store, so no grace period applies")
	})
}

func TestStaleAnswersAreIgnored(t *testing.T) {
	run(t, func(f *fixture) {
		known := f.directory.SyncedVersion()
		f.directory.applyEndpoints(wharfrecords.Page{Version: known - 1}, true, time.Now())
		assert.Equal(t, f.endpoints(), "ab")
	})
}

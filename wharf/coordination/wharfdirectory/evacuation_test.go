package wharfdirectory

import (
	"bytes"
	"encoding/gob"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharffollower"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfevacuation"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// goal is the time within which an evacuation that the store has acknowledged is to be in force.
const goal = time.Second

func (f *fixture) evacuate(zone string) {
	f.apply(wharfrecords.Transaction{Puts: []wharfrecords.Row{{Table: "configuration", Key: "empty:" + zone, Value: []byte("{}")}}})
}

func (f *fixture) refill(zone string) {
	f.apply(wharfrecords.Transaction{Deletes: []wharfrecords.Row{{Table: "configuration", Key: "empty:" + zone}}})
}

func (f *fixture) evacuated() string {
	return strings.Join(f.directory.View().Evacuations.Zones(), " ")
}

func (f *fixture) endedAt(zone string) uint64 { return f.directory.View().Evacuations.EndedAt(zone) }

// storeVersion returns the store's version.
func (f *fixture) storeVersion() uint64 {
	page, err := f.store.Read(f.t.Context(), wharfrecords.Range{Table: "none"})
	assert.NilError(f.t, err)
	return page.Version
}

// TestEvacuationsAreFollowed guards against an evacuation that is in force late, or for longer than its row exists: two
// zones, one after the other, and one that is cancelled and requested again within a second.
func TestEvacuationsAreFollowed(t *testing.T) {
	run(t, func(f *fixture) {
		assert.Equal(t, f.evacuated(), "")
		f.evacuate("a")
		f.sleep(goal / 10)
		assert.Equal(t, f.evacuated(), "a")
		f.evacuate("b")
		f.sleep(goal / 10)
		assert.Equal(t, f.evacuated(), "a b")
		f.refill("a")
		ended := f.storeVersion()
		f.sleep(goal / 10)
		assert.Equal(t, f.evacuated(), "b")
		assert.Equal(t, f.endedAt("a"), ended)
		f.refill("b")
		f.sleep(goal / 10)
		assert.Equal(t, f.evacuated(), "")
		f.evacuate("b")
		f.sleep(goal / 10)
		assert.Equal(t, f.evacuated(), "b")
		f.configure(2)
		f.sleep(goal / 10)
		assert.Equal(t, f.evacuated(), "b", "a new configuration ends no evacuation")
		assert.Equal(t, f.version(), uint64(2))
	})
}

// TestEvacuationOfUnknownZoneHasNoOtherEffect guards against a mistyped zone name that keeps endpoints from being used.
func TestEvacuationOfUnknownZoneHasNoOtherEffect(t *testing.T) {
	run(t, func(f *fixture) {
		f.evacuate("elsewhere")
		f.sleep(goal / 10)
		assert.Equal(t, f.evacuated(), "elsewhere")
		assert.Equal(t, f.endpoints(), "ab")
		assert.Equal(t, f.version(), uint64(1))
	})
}

// TestEvacuationsAcrossLostHistory guards against a host that was cut off from the store during a change and misses it,
// because the store no longer has the change when the host returns.
func TestEvacuationsAcrossLostHistory(t *testing.T) {
	run(t, func(f *fixture) {
		f.evacuate("a")
		f.sleep(goal / 10)
		f.loseStore()
		assert.Equal(t, f.evacuated(), "a", "an outage ends no evacuation")
		f.refill("a")
		ended := f.storeVersion
		f.evacuate("b")
		f.store.DropHistory()
		f.up()
		f.sleep(2*wharffollower.MaxBackoff + goal/10)
		assert.Equal(t, f.evacuated(), "b")
		assert.Assert(t, f.endedAt("a") > 0 && f.endedAt("a") <= ended())
	})
}

// loseStore lets the store fail, and waits until the directory's polls have ended.
func (f *fixture) loseStore() {
	f.down()
	f.sleep(configurationPollWait + 2*replyTimeout)
}

// startOther starts another host of the same store.
func (f *fixture) startOther() *Directory {
	other := New(Options{Store: f.store, Decoder: decoder{}, OnChange: func(*View) {}})
	f.syncOther(other)
	return other
}

// syncOther has another host read the store.
func (f *fixture) syncOther(other *Directory) {
	page, err := wharfrecords.ReadAll(f.t.Context(), f.store, wharfrecords.Range{Table: "endpoints"})
	assert.NilError(f.t, err)
	other.applyEndpoints(page, true, time.Now())
	page, err = wharfrecords.ReadAll(f.t.Context(), f.store, wharfrecords.Range{Table: "configuration"})
	assert.NilError(f.t, err)
	other.applyConfiguration(page, "newest", true)
}

// overTheWire encodes and decodes a snapshot as a call between hosts does.
func overTheWire(t *testing.T, s Snapshot) Snapshot {
	t.Helper()
	var data bytes.Buffer
	var decoded Snapshot
	assert.NilError(t, gob.NewEncoder(&data).Encode(s))
	assert.NilError(t, gob.NewDecoder(&data).Decode(&decoded))
	return decoded
}

// TestEvacuationsFromPeers guards against a host that does not learn of evacuations while the store does not answer it, or
// that takes an older peer's word for the end of one.
func TestEvacuationsFromPeers(t *testing.T) {
	run(t, func(f *fixture) {
		old := overTheWire(t, f.directory.Snapshot())
		f.loseStore()
		f.evacuate("a")
		f.up()
		other := f.startOther()
		f.down()
		f.peer.Store(other)
		f.sleep(configurationStaleAfter + 2*peerSyncInterval)
		assert.Equal(t, f.evacuated(), "a")
		f.directory.Merge(old)
		f.sleep(goal / 10)
		assert.Equal(t, f.evacuated(), "a", "the peer's snapshot is older")
		f.up()
		f.refill("a")
		ended := f.storeVersion()
		f.syncOther(other)
		f.directory.Merge(overTheWire(t, other.Snapshot()))
		assert.Equal(t, f.evacuated(), "", "the empty set of a host that knows it ends the evacuation")
		assert.Equal(t, f.endedAt("a"), ended)
	})
}

// TestEvacuationsFromPeersThatDoNotLookNewer guards against a host that never asks the peer which read the last row before the
// store was lost, because that peer's endpoints are no newer than its own. In a long outage hosts must not ask for ever.
func TestEvacuationsFromPeersThatDoNotLookNewer(t *testing.T) {
	run(t, func(f *fixture) {
		f.loseStore()
		f.evacuate("a")
		f.up()
		f.peer.Store(f.startOther())
		f.equal.Store(true)
		f.down()
		f.sleep(configurationStaleAfter + 3*peerSyncInterval)
		assert.Equal(t, f.evacuated(), "a")
		f.equal.Store(false)
		f.peer.Store(nil)
		f.asked.Store(0)
		f.sleep(10 * time.Minute)
		asked := f.asked.Load()
		assert.Assert(t, asked > 0 && asked <= maxEqualSyncs, "%d times", asked)
	})
}

// TestOlderBuildsEndNoEvacuation guards against a snapshot without a set, from a host of an older build, that ends an
// evacuation, or that moves the host past a change which it then never reads.
func TestOlderBuildsEndNoEvacuation(t *testing.T) {
	run(t, func(f *fixture) {
		f.evacuate("a")
		f.sleep(goal / 10)
		f.loseStore()
		f.evacuate("b")
		f.configure(2)
		f.sleep(time.Second)
		older := Snapshot{Configuration: &wharfroute.Configuration{Version: 2}, ConfigurationVersion: f.directory.SyncedVersion() + 2}
		f.directory.Merge(overTheWire(t, older))
		assert.Equal(t, f.evacuated(), "a")
		assert.Equal(t, f.version(), uint64(1), "its configuration may lack fields that its build does not know")
		f.up()
		f.sleep(2*wharffollower.MaxBackoff + goal/10)
		assert.Equal(t, f.evacuated(), "a b", "the change is still read from the store")
		assert.Equal(t, f.version(), uint64(2))
	})
}

// TestNotReadyUntilEvacuationsAreKnown guards against a host that starts while the store is lost, and sends requests to an
// evacuated zone by the configuration of a peer that does not know the set.
func TestNotReadyUntilEvacuationsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{Decoder: decoder{}, OnChange: func(*View) {}})
		configuration := &wharfroute.Configuration{Version: 3}
		d.Merge(Snapshot{Configuration: configuration, ConfigurationVersion: 9})
		assert.Assert(t, d.View().Table == nil)
		known := d.View().Evacuations.Advance(8, nil)
		d.Merge(overTheWire(t, Snapshot{Configuration: configuration, ConfigurationVersion: 8, Evacuations: known}))
		assert.Assert(t, d.View().Table != nil)
		assert.Equal(t, len(d.View().Evacuations.Zones()), 0)
	})
}

// TestHostIsNotCurrentAfterItWasFrozen guards against a host that was suspended during a change and goes on with the set that
// it knew before. A frozen process is played by polls that neither end nor fail, as their time limits are frozen too.
func TestHostIsNotCurrentAfterItWasFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{Decoder: decoder{}, OnChange: func(*View) {}})
		assert.Assert(t, d.AwaitCurrent(t.Context()), "a host that has just started is not ready, and needs no other guard")
		d.pollEnded(0)
		time.Sleep(10 * time.Second)
		assert.Assert(t, d.Current(), "no evacuation is known in this deployment")
		evacuated := d.View().Evacuations.Advance(8, []wharfevacuation.Change{{Zone: "a", Version: 8}})
		d.Merge(Snapshot{Configuration: &wharfroute.Configuration{Version: 3}, ConfigurationVersion: 8, Evacuations: evacuated})
		d.pollEnded(0)
		assert.Assert(t, d.Current())
		time.Sleep(maxPollGap)
		assert.Assert(t, d.Current(), "polls may take as long")
		time.Sleep(10 * time.Second)
		assert.Assert(t, !d.Current())
		start := time.Now()
		assert.Assert(t, !d.AwaitCurrent(t.Context()))
		assert.Equal(t, time.Since(start), currentWait)
		d.pollEnded(10 * time.Second)
		assert.Assert(t, !d.Current(), "the poll was frozen too, so that its failure, or its answer of before, says nothing")
		time.AfterFunc(currentWait/2, func() { d.pollEnded(time.Millisecond) })
		assert.Assert(t, d.AwaitCurrent(t.Context()))
	})
}

// TestHostWithoutStoreStaysCurrent guards against requests that are refused for as long as the store does not answer.
func TestHostWithoutStoreStaysCurrent(t *testing.T) {
	for name, fault := range map[string]func(string) error{
		"refused": func(string) error { return wharfrecords.ErrUnavailable },
		"silent": func(string) error {
			time.Sleep(configurationPollWait + replyTimeout)
			return wharfrecords.ErrUnavailable
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				for range 100 {
					f.sleep(100 * time.Millisecond)
					assert.Assert(t, f.directory.Current(), "a quiet store")
				}
				f.store.SetFault(fault)
				for range 300 {
					f.sleep(100 * time.Millisecond)
					assert.Assert(t, f.directory.Current(), "a lost store")
				}
				f.up()
				f.sleep(time.Minute)
				assert.Assert(t, f.directory.Current())
			})
		})
	}
}

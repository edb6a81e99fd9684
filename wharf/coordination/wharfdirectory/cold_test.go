package wharfdirectory

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfroute"
)

// known is longer than the directory takes to hear of a change.
const known = 2 * endpointPollInterval

func (f *fixture) onWritten(ids []string, after time.Time) {
	written := map[string]time.Time{}
	if before := f.written.Load(); before != nil {
		written = maps.Clone(*before)
	}
	for _, id := range ids {
		written[id] = after
	}
	f.written.Store(&written)
}

func (f *fixture) limitCold() {
	f.apply(wharfrecords.Transaction{Puts: []wharfrecords.Row{
		{Table: "configuration", Key: "newest", Value: []byte("2 with cold limit")},
	}})
	f.sleep(known)
}

// cold returns how much longer an endpoint is cold, rounded to seconds.
func (f *fixture) cold(d *Directory, id string) time.Duration {
	for _, e := range d.View().Endpoints {
		if e.ID == id {
			return max(0, time.Until(e.ColdUntil)).Round(time.Second)
		}
	}
	f.t.Fatalf("%s is not registered", id)
	return 0
}

// TestRewrittenRegistrationsPublishNoView guards against a view for each rewrite of a cold endpoint's registration.
func TestRewrittenRegistrationsPublishNoView(t *testing.T) {
	run(t, func(f *fixture) {
		f.limitCold()
		views := f.views.Load()
		f.register("a", "cold 10s")
		f.sleep(known)
		assert.Equal(t, f.views.Load(), views+1)
		assert.Equal(t, f.cold(f.directory, "a"), 10*time.Second)
		for _, remaining := range []string{"8900ms", "7900ms", "6700ms", "5600ms"} {
			f.sleep(1200*time.Millisecond - known)
			f.register("a", "cold "+remaining)
			f.sleep(known)
		}
		assert.Equal(t, f.views.Load(), views+1)
		f.register("a", "cold 10s")
		f.sleep(known)
		assert.Equal(t, f.views.Load(), views+2, "prolonged")
		assert.Equal(t, f.cold(f.directory, "a"), 10*time.Second)
		f.register("a", "ready")
		f.sleep(known)
		assert.Equal(t, f.views.Load(), views+3, "ended")
		assert.Equal(t, f.cold(f.directory, "a"), time.Duration(0))
	})
}

// TestColdnessWithoutLimitPublishesNoView guards against costs for deployments that have no limit, and against a limit
// that is configured later and knows of no cold endpoint.
func TestColdnessWithoutLimitPublishesNoView(t *testing.T) {
	run(t, func(f *fixture) {
		views := f.views.Load()
		f.register("a", "cold 10s")
		f.sleep(known)
		f.register("a", "cold 30s")
		f.sleep(known)
		assert.Equal(t, f.views.Load(), views)
		f.limitCold()
		assert.Assert(t, f.cold(f.directory, "a") > 25*time.Second)
	})
}

// TestColdnessReachesPeersAsDurations guards against times of day in snapshots, and against hosts of older builds, which
// tell nothing of coldness, that end it.
func TestColdnessReachesPeersAsDurations(t *testing.T) {
	run(t, func(f *fixture) {
		f.limitCold()
		f.register("a", "cold 20s")
		f.sleep(known)
		other := New(Options{Store: f.store, Decoder: decoder{}, OnChange: func(*View) {}})
		snapshot := f.directory.Snapshot()
		for _, e := range snapshot.Endpoints {
			assert.Assert(t, e.ColdUntil.IsZero())
		}
		f.sleep(100 * time.Millisecond)
		other.Merge(snapshot)
		assert.Equal(t, f.cold(other, "a"), 20*time.Second)
		assert.Equal(t, f.cold(other, "b"), time.Duration(0))
		snapshot.EndpointsVersion++
		snapshot.ReportsCold, snapshot.Cold = false, nil
		snapshot.Endpoints = append([]wharffleet.Endpoint{{ID: "c"}}, snapshot.Endpoints...)
		other.Merge(snapshot)
		assert.Equal(t, f.cold(other, "a"), 20*time.Second, "an older build does not tell")
		assert.Equal(t, f.cold(other, "c"), (9*time.Second + coldSlack).Round(time.Second), "a new endpoint of which nothing is known has just started")
		snapshot.EndpointsVersion++
		snapshot.ReportsCold = true
		other.Merge(snapshot)
		assert.Equal(t, f.cold(other, "a"), time.Duration(0))
	})
}

// TestWrittenRegistrationsArePassedOn guards against registrations that were written before a time and count as written
// after it: they would end the coldness of an endpoint that has crashed since.
func TestWrittenRegistrationsArePassedOn(t *testing.T) {
	run(t, func(f *fixture) {
		assert.Assert(t, f.written.Load() == nil || len(*f.written.Load()) == 0, "it is not known when the first ones were written")
		for range 20 {
			f.sleep(130 * time.Millisecond)
			wrote := time.Now()
			f.register("a", "ready")
			f.sleep(endpointPollWait + known)
			after := (*f.written.Load())["a"]
			assert.Assert(t, !after.After(wrote), "written %v before", after.Sub(wrote))
			assert.Assert(t, wrote.Sub(after) < 2*time.Second, "%v", wrote.Sub(after))
			_, other := (*f.written.Load())["b"]
			assert.Assert(t, !other)
		}
		polled, wrote := time.Now(), time.Now().Add(-time.Second)
		f.directory.applyEndpoints(wharfrecords.Page{Version: 1 << 39}, false, wrote)
		f.directory.applyEndpoints(wharfrecords.Page{
			Version: 1<<39 + 1, Rows: []wharfrecords.Row{{Key: "a", Version: 1<<39 + 1, Value: []byte("ready")}},
		}, false, polled)
		assert.Equal(t, (*f.written.Load())["a"], wrote, "it may have been written since the poll before began")
		f.directory.applyEndpoints(wharfrecords.Page{
			Version: 1 << 40, Rows: []wharfrecords.Row{{Key: "b", Version: 1, Value: []byte("ready")}},
		}, true, time.Now())
		_, other := (*f.written.Load())["b"]
		assert.Assert(t, !other, "a full read repeats rows of any age")
	})
}

// TestEndpointsOfAnEvacuatedZoneAreUnsettled guards against registrations from before the end of an evacuation that pass for
// newer ones, here and at hosts that hear of both from a peer, and against endpoints that stay unsettled.
func TestEndpointsOfAnEvacuatedZoneAreUnsettled(t *testing.T) {
	run(t, func(f *fixture) {
		unsettled := func(d *Directory) (ids string) {
			for _, e := range d.View().Endpoints {
				if e.Unsettled {
					ids += e.ID
				}
			}
			return ids
		}
		evacuate := func(deleted bool) {
			row := []wharfrecords.Row{{Table: "configuration", Key: "empty:zone"}}
			if deleted {
				f.apply(wharfrecords.Transaction{Deletes: row})
			} else {
				f.apply(wharfrecords.Transaction{Puts: row})
			}
			f.sleep(known)
		}
		evacuate(false)
		f.register("a", "ready")
		f.sleep(known)
		evacuate(true)
		assert.Equal(t, unsettled(f.directory), "", "there is no limit")
		f.limitCold()
		assert.Equal(t, unsettled(f.directory), "ab")
		other := New(Options{Store: f.store, Decoder: decoder{}, OnChange: func(*View) {}})
		other.Merge(f.directory.Snapshot())
		assert.Equal(t, unsettled(other), "ab")
		f.register("b", "cold 3s")
		f.sleep(known)
		assert.Equal(t, unsettled(f.directory), "a")
		assert.Equal(t, f.cold(f.directory, "b"), 3*time.Second)
		other.Merge(f.directory.Snapshot())
		assert.Equal(t, unsettled(other), "a")
		evacuate(false)
		evacuate(true)
		f.register("a", "ready")
		f.sleep(known)
		assert.Equal(t, unsettled(f.directory), "b")
		f.register("b", "ready")
		f.sleep(known)
		assert.Equal(t, unsettled(f.directory), "")
	})
}

// TestUnknownRemainderOfANewIncarnation guards against full traffic to an endpoint that does not tell that it is cold.
func TestUnknownRemainderOfANewIncarnation(t *testing.T) {
	run(t, func(f *fixture) {
		f.limitCold()
		d := f.directory
		d.mu.Lock()
		defer d.mu.Unlock()
		d.configuration.Services = []wharfroute.Service{{Name: "s", ColdPerSecond: 8.3, ColdStart: 9 * time.Second}}
		e := wharffleet.Endpoint{ID: "n", Service: "s", Born: time.Unix(1, 0)}
		assert.Assert(t, d.register(e, 0, 1))
		assert.Assert(t, d.endpoints["n"].coldUntil.IsZero())
		assert.Assert(t, !d.register(e, wharffleet.ColdUnknown, 2), "the same incarnation")
		e.Born = time.Unix(2, 0)
		assert.Assert(t, d.register(e, wharffleet.ColdUnknown, 3))
		assert.Equal(t, time.Until(d.endpoints["n"].coldUntil), 9*time.Second+coldSlack)
	})
}

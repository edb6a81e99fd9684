package wharffleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfcall"
)

// limited returns a fleet whose endpoint e0 has named a limit of 2 requests per second, and has had no request for a while.
func limited(t *testing.T) *Fleet {
	t.Helper()
	f := newFleet("near")
	p := pick(t, f, false)
	assert.Assert(t, p.Hear(wharfcall.Response{RateLimit: 2}))
	assert.Assert(t, !p.Hear(wharfcall.Response{RateLimit: 2}))
	p.Release()
	f.Changes()
	time.Sleep(10 * time.Second)
	return f
}

// place returns how many requests the fleet places at once.
func place(f *Fleet) int {
	for n := range slots {
		if _, err := f.Pick(Request{Service: "s"}); err != nil {
			return n
		}
	}
	return slots
}

// report returns the load of a host that has sent a number of requests so far.
func report(sent uint64) []Load {
	return []Load{{Endpoint: "e0", Online: 1, Sent: sent}}
}

var announcementCases = []struct {
	name   string
	before func(f *Fleet)
	want   int
}{
	{"a second's worth after a pause", func(*Fleet) {}, 2},
	{"its rate afterwards", func(f *Fleet) { place(f); time.Sleep(500 * time.Millisecond) }, 1},
	{"requests of other hosts count", func(f *Fleet) { f.ApplyChanges("a", report(7)); f.ApplyChanges("a", report(8)) }, 0},
	{"a report that comes twice counts once", func(f *Fleet) { f.ApplyChanges("a", report(7)); f.ReplaceLoads("a", report(7)) }, 1},
	{"what was sent too much is made up for", func(f *Fleet) {
		f.ApplyChanges("a", report(1))
		f.ApplyChanges("a", report(7))
		time.Sleep(2 * time.Second)
	}, 0},
	{"a restarted host counts anew", func(f *Fleet) {
		f.ApplyChanges("a", report(50))
		time.Sleep(time.Second)
		f.ApplyChanges("a", report(1))
	}, 1},
	{"a granted request counts once", func(f *Fleet) {
		f.ApplyChanges("a", report(50))
		time.Sleep(time.Second)
		_, _ = f.Pick(Request{Service: "s", Requester: &Requester{Host: "a"}})
		f.ApplyChanges("a", report(51))
	}, 1},
	{"another host's newer word holds", func(f *Fleet) {
		f.ApplyChanges("a", []Load{{Endpoint: "e0", Limit: wharfcall.NoLimit, LimitAge: time.Second}})
	}, slots},
	{"another host's older word does not", func(f *Fleet) {
		f.ApplyChanges("a", []Load{{Endpoint: "e0", Limit: wharfcall.NoLimit, LimitAge: time.Minute}})
	}, 2},
	{"one to hear whether it still takes none", func(f *Fleet) {
		f.ApplyChanges("a", []Load{{Endpoint: "e0", Limit: 0, LimitAge: time.Millisecond}})
		place(f)
		time.Sleep(11 * time.Second)
	}, 1},
	{"none while it leaves", func(f *Fleet) {
		if p, err := f.Pick(Request{Service: "s"}); err == nil {
			p.Hear(wharfcall.Response{RateLimit: 2, Leaving: true})
			p.Release()
		}
		time.Sleep(10 * time.Second)
	}, 0},
	{"nor by another host's word, also after its registration has lapsed", func(f *Fleet) {
		e := f.entries["e0"].Endpoint
		f.ApplyChanges("a", []Load{{Endpoint: "e0", Leaving: true}})
		f.Update(nil)
		f.Update([]Endpoint{e})
	}, 0},
	{"a registration that lapses leaves it", func(f *Fleet) {
		e := f.entries["e0"].Endpoint
		f.Update(nil)
		f.Update([]Endpoint{e})
	}, 2},
	{"a new incarnation has none", func(f *Fleet) {
		e := f.entries["e0"].Endpoint
		f.ApplyChanges("a", []Load{{Endpoint: "e0", Leaving: true}})
		e.Born = e.Born.Add(time.Second)
		f.Update([]Endpoint{e})
	}, slots},
}

func TestAnnouncementsAreSharedByAllHosts(t *testing.T) {
	for _, test := range announcementCases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := limited(t)
				test.before(f)
				assert.Equal(t, place(f), test.want)
			})
		})
	}
}

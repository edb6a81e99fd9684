package wharfhost

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfrecords"
)

func TestHostsFindEachOtherWhileTheStoreTakesNoRows(t *testing.T) {
	c := newCluster(t, 3, 1)
	for _, h := range c.hosts {
		h.kill()
	}
	c.store.SetFault(func(call string) error {
		if call == "commit" {
			return wharfrecords.ErrUnavailable
		}
		return nil
	})
	var again []*running
	for _, h := range c.hosts[:3] {
		again = append(again, c.restart(h))
	}
	c.await("all know each other", func() bool {
		for _, h := range again {
			if h.members.holders() != 3 {
				return false
			}
			for _, p := range h.gossip.Peers() {
				if p.Presence != wharfgossip.Alive {
					return false
				}
			}
		}
		return true
	})
	assert.Equal(t, c.send(again[0], keyA, "POST", "/resume/", "1", "").Status, 200)
}

func TestRowsOfLargeFleetsAreReadLessOften(t *testing.T) {
	for hosts, want := range map[int]time.Duration{1: 5 * time.Second, 66: 5 * time.Second, 300: 21 * time.Second} {
		assert.Equal(t, periodOf(hosts), want)
	}
}

func TestHostsThatKnowLessAskDifferentOnesOfTheirZone(t *testing.T) {
	var peers []wharfgossip.Peer
	for i, zone := range []string{"near", "near", "near", "far", "far"} {
		peers = append(peers, wharfgossip.Peer{
			Host: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Presence: wharfgossip.Alive, LastMessage: &wharfgossip.Message{StoreVersion: uint64(5 + i)},
		})
	}
	peers[2].Presence = wharfgossip.Quiet
	asked := map[string]int{}
	for range 200 {
		p, found := informant(peers, "near", 4)
		assert.Assert(t, found)
		asked[p.Host]++
	}
	assert.Equal(t, len(asked), 2, "%v", asked)
	p, found := informant(peers, "near", 7)
	assert.Assert(t, found)
	assert.Equal(t, p.Zone, "far", "nobody near knows more")
	_, found = informant(peers, "near", 9)
	assert.Assert(t, !found)
}

// TestHostsThatStartAtOnceDoNotTakeThemselvesForTheOnlyOne starts hosts whose rows are not written yet when they read.
func TestHostsThatStartAtOnceDoNotTakeThemselvesForTheOnlyOne(t *testing.T) {
	c := newCluster(t, 0, 1)
	c.store.SetFault(func(call string) error {
		if call == "commit" {
			return wharfrecords.ErrUnavailable
		}
		return nil
	})
	for _, name := range []string{"one", "other"} {
		c.start(name)
	}
	c.await("both have read the rows", func() bool {
		return c.hosts[0].table() != nil && c.hosts[1].table() != nil
	})
	for range 10 {
		for _, h := range c.hosts {
			assert.Equal(t, h.members.holders(), 0, "the number is not known")
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.store.SetFault(nil)
	c.await("each knows of the other", func() bool {
		return c.hosts[0].members.holders() == 2 && c.hosts[1].members.holders() == 2
	})
}

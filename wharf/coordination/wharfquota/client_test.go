package wharfquota

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
	"wagtailwharf.example/wharf/state/wharfzone"
)

// halfSilent are owners of which one never answers, as a host that is cut off.
type halfSilent struct {
	silent netip.AddrPort
	asked  map[netip.AddrPort]int
}

func (h *halfSilent) Draw(ctx context.Context, to netip.AddrPort, _ DrawRequest) (DrawReply, error) {
	h.asked[to]++
	if to == h.silent {
		<-ctx.Done()
		return DrawReply{}, ctx.Err()
	}
	return DrawReply{Tokens: 1, Term: NeedTerm}, nil
}

func TestSilentOwnerDoesNotUseUpTheTokensOfTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		live := []wharfzone.Member{
			{Host: "a-0", Peer: netip.MustParseAddrPort("10.0.0.1:1")},
			{Host: "a-1", Peer: netip.MustParseAddrPort("10.0.0.2:1")},
		}
		organisation := &wharfsnapshot.Organisation{Organisation: wharfconfig.Organisation{Name: "alpha"}, ZoneShares: map[string]float64{"a": 1}}
		key := ShardKey("a", ShardOf(organisation.Name))
		peers := &halfSilent{asked: map[netip.AddrPort]int{}}
		for _, member := range live {
			if member.Host == wharfrank.First(key, []string{"a-0", "a-1"}) {
				peers.silent = member.Peer
			}
		}
		drawer := NewClient("a", netip.MustParseAddrPort("10.0.0.9:1"), nil, nil, peers, func() []wharfzone.Member { return live })
		drawer.owners.Store(key, peers.silent) // the owner before it was cut off
		began := time.Now()
		wait, err := drawer.Admit(t.Context(), organisation)
		assert.NilError(t, err, "refused for %s although the new owner granted a token", wait)
		assert.Assert(t, time.Since(began) <= askTimeout)
		_, err = drawer.Admit(t.Context(), organisation)
		assert.NilError(t, err)
		assert.Equal(t, peers.asked[peers.silent], 1, "the one that answered is asked first")
	})
}

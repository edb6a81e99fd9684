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

// partiallySilentPeers answers draws for all addresses but one, which times out like an unreachable host.
type partiallySilentPeers struct {
	silent netip.AddrPort
	asked  map[netip.AddrPort]int
}

func (p *partiallySilentPeers) Draw(ctx context.Context, to netip.AddrPort, _ DrawRequest) (DrawReply, error) {
	p.asked[to]++
	if to == p.silent {
		<-ctx.Done()
		return DrawReply{}, ctx.Err()
	}
	return DrawReply{Tokens: 1, Term: NeedTerm}, nil
}

func TestSilentOwnerDoesNotConsumeNextOwnersTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		live := []wharfzone.Member{
			{Host: "a-0", Peer: netip.MustParseAddrPort("10.0.0.1:1")},
			{Host: "a-1", Peer: netip.MustParseAddrPort("10.0.0.2:1")},
		}
		organisation := &wharfsnapshot.Organisation{
			Organisation: wharfconfig.Organisation{Name: "alpha"}, ZoneShares: map[string]float64{"a": 1},
		}
		key := ShardKey("a", ShardOf(organisation.Name))
		peers := &partiallySilentPeers{asked: map[netip.AddrPort]int{}}
		for _, member := range live {
			if member.Host == wharfrank.First(key, []string{"a-0", "a-1"}) {
				peers.silent = member.Peer
			}
		}
		client := NewClient("a", netip.MustParseAddrPort("10.0.0.9:1"), nil, nil, peers,
			func() []wharfzone.Member { return live })
		client.owners.Store(key, peers.silent) // the owner before it became unreachable
		start := time.Now()
		wait, err := client.Admit(t.Context(), organisation)
		assert.NilError(t, err, "rejected for %s although the new owner granted a token", wait)
		assert.Assert(t, time.Since(start) <= ownerTimeout)
		_, err = client.Admit(t.Context(), organisation)
		assert.NilError(t, err)
		assert.Equal(t, peers.asked[peers.silent], 1, "the owner that answered is asked first")
	})
}

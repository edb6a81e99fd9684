package wharfmember

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfzone"
)

// tendRound does what needs the platform: the table's vote, and changes of membership.
func (m *Member) tendRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Term)
	defer cancel()
	m.renewByWitness(ctx)
	view := m.refresh(ctx)
	if view == nil {
		return
	}
	if m.promised.Load() {
		m.change(ctx, func(zone *wharfzone.Zone) wharfzone.Zone { return zone.NextGeneration() })
	}
	m.reclaimSilent(ctx, view)
	m.fitWitness(ctx, view)
}

// change commits the next generation if a quorum has adopted the present one.
func (m *Member) change(ctx context.Context, next func(*wharfzone.Zone) wharfzone.Zone) {
	zone, version, err := m.read(ctx)
	if err != nil || version == 0 || !m.adopt(ctx, &zone) || !m.adopted(ctx, &zone) {
		return
	}
	changed := next(&zone)
	if err := m.write(ctx, &changed, version); err != nil {
		return
	}
	m.adopt(ctx, &changed)
	m.spread(ctx, &changed)
}

func (m *Member) spread(ctx context.Context, zone *wharfzone.Zone) {
	m.ask(ctx, zone, func(ctx context.Context, to netip.AddrPort) bool {
		_, err := m.options.Peers.Adopt(ctx, to, AdoptRequest{Zone: *zone})
		return err == nil
	})
}

// fitWitness has the first live host add the table's vote or take it away, one voter at a time.
func (m *Member) fitWitness(ctx context.Context, view *View) {
	wanted := view.Zone.NeedsWitness()
	if wanted == view.Zone.Witness || wharfrank.First("witness", view.LiveHosts()) != view.Self.Host {
		return
	}
	m.change(ctx, func(zone *wharfzone.Zone) wharfzone.Zone {
		return zone.WithWitness(zone.NeedsWitness())
	})
}

// reclaimSilent has the first live host reclaim each silent member.
func (m *Member) reclaimSilent(ctx context.Context, view *View) {
	var silent []wharfzone.Member
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine != nil {
			silent = m.machine.Silent(time.Now())
		}
	})
	for _, target := range silent {
		if wharfrank.First(target.Host, view.LiveHosts()) != view.Self.Host {
			continue
		}
		if err := m.reclaim(ctx, target); err != nil {
			klog.V(1).InfoS("reclaim failed", "host", target.Host, "epoch", target.Epoch, "error", err.Error())
			continue
		}
		klog.InfoS("reclaimed", "host", target.Host, "epoch", target.Epoch)
		return
	}
}

func (m *Member) reclaim(ctx context.Context, target wharfzone.Member) error {
	zone, version, err := m.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if !m.mayReclaim(ctx, &zone, target) {
		return trace.Wrap(ErrNoQuorum)
	}
	count := 0
	if zone.Witness && m.witnessAgrees(&zone, target) {
		count++
	}
	request := AgreeRequest{Host: target.Host, Epoch: target.Epoch, Zone: zone}
	count += m.ask(ctx, &zone, func(ctx context.Context, to netip.AddrPort) bool {
		reply, err := m.options.Peers.Agree(ctx, to, request)
		return err == nil && reply.Agreed
	})
	if count < zone.Quorum() {
		return trace.Wrap(ErrNoQuorum)
	}
	next := zone.WithoutHost(target.Host)
	if err := m.write(ctx, &next, version); err != nil {
		return trace.Wrap(err)
	}
	m.adopt(ctx, &next)
	m.spread(ctx, &next)
	return nil
}

// mayReclaim reports that this host knows just this generation, for a whole term, and gives its own promise.
func (m *Member) mayReclaim(ctx context.Context, zone *wharfzone.Zone, target wharfzone.Member) bool {
	if !m.adopt(ctx, zone) {
		return false
	}
	promised := false
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine == nil || len(m.machine.Silent(time.Now())) == 0 {
			return
		}
		promised = m.machine.Promise(target.Host, target.Epoch, zone.Generation, time.Now())
	})
	return promised
}

// witnessAgrees reports that the table's votes for a host have not changed for longer than a vote lasts.
func (m *Member) witnessAgrees(zone *wharfzone.Zone, target wharfzone.Member) bool {
	now := time.Now()
	seen, ok := m.observed[target.Host]
	votes := zone.Votes[target.Host]
	if !ok || seen.epoch != target.Epoch || seen.votes != votes {
		m.observed[target.Host] = observation{epoch: target.Epoch, votes: votes, since: now}
		return false
	}
	return now.Sub(seen.since) > m.options.Term+m.options.Margin
}

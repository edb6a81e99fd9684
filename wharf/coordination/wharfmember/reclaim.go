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

// membershipRound performs the tasks that need the platform: renewal by the witness, and membership changes.
func (m *Member) membershipRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Term)
	defer cancel()
	m.renewFromWitness(ctx)
	view := m.refresh(ctx)
	if view == nil {
		return
	}
	if m.reclaimPromised.Load() {
		m.changeZone(ctx, func(zone *wharfzone.Zone) wharfzone.Zone { return zone.NextGeneration() })
	}
	m.reclaimSilent(ctx, view)
	m.adjustWitness(ctx, view)
}

// changeZone commits the next generation if a quorum has adopted the current one.
func (m *Member) changeZone(ctx context.Context, next func(*wharfzone.Zone) wharfzone.Zone) {
	zone, version, err := m.readZone(ctx)
	if err != nil || version == 0 || !m.adopt(ctx, &zone) || !m.quorumAdopted(ctx, &zone) {
		return
	}
	changed := next(&zone)
	if err := m.commitZone(ctx, &changed, version); err != nil {
		return
	}
	m.adopt(ctx, &changed)
	m.broadcastZone(ctx, &changed)
}

func (m *Member) broadcastZone(ctx context.Context, zone *wharfzone.Zone) {
	m.callMembers(ctx, zone, func(ctx context.Context, to netip.AddrPort) bool {
		_, err := m.options.Peers.Adopt(ctx, to, AdoptRequest{Zone: *zone})
		return err == nil
	})
}

// adjustWitness makes one live host add or remove the witness when the number of members requires it. This is a
// generation of its own, so that consecutive generations differ by one voter.
func (m *Member) adjustWitness(ctx context.Context, view *View) {
	wanted := view.Zone.NeedsWitness()
	if wanted == view.Zone.Witness || wharfrank.First("witness", view.LiveHosts()) != view.Self.Host {
		return
	}
	m.changeZone(ctx, func(zone *wharfzone.Zone) wharfzone.Zone {
		return zone.WithWitness(zone.NeedsWitness())
	})
}

// reclaimSilent reclaims one silent member for which rendezvous hashing ranks this host first among the live hosts.
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
			klog.V(1).InfoS("failed to reclaim host", "host", target.Host, "epoch", target.Epoch, "error", err.Error())
			continue
		}
		klog.InfoS("reclaimed", "host", target.Host, "epoch", target.Epoch)
		return
	}
}

func (m *Member) reclaim(ctx context.Context, target wharfzone.Member) error {
	zone, version, err := m.readZone(ctx)
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
	count += m.callMembers(ctx, &zone, func(ctx context.Context, to netip.AddrPort) bool {
		reply, err := m.options.Peers.Agree(ctx, to, request)
		return err == nil && reply.Agreed
	})
	if count < zone.Quorum() {
		return trace.Wrap(ErrNoQuorum)
	}
	next := zone.WithoutHost(target.Host)
	if err := m.commitZone(ctx, &next, version); err != nil {
		return trace.Wrap(err)
	}
	m.adopt(ctx, &next)
	m.broadcastZone(ctx, &next)
	return nil
}

// mayReclaim reports whether this host knows exactly this generation, has known it for a whole term, and gives its own
// promise.
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

// witnessAgrees reports whether the witness has not voted for a host for longer than a vote is valid.
func (m *Member) witnessAgrees(zone *wharfzone.Zone, target wharfzone.Member) bool {
	now := time.Now()
	last, ok := m.witnessObservations[target.Host]
	votes := zone.Votes[target.Host]
	if !ok || last.epoch != target.Epoch || last.votes != votes {
		m.witnessObservations[target.Host] = witnessObservation{epoch: target.Epoch, votes: votes, since: now}
		return false
	}
	return now.Sub(last.since) > m.options.Term+m.options.Margin
}

package wharfmember

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharflease"
	"wagtailwharf.example/wharf/state/wharfzone"
)

func (m *Member) renewRound(ctx context.Context) {
	if m.needsJoin(ctx) {
		m.joinWithRetry(ctx)
	}
	view := m.refresh(ctx)
	if view == nil {
		return
	}
	m.reclaimPromised.Store(m.renew(ctx, view))
}

// renew requests a vote from every other member and reports whether any of them has promised this host's reclaim.
func (m *Member) renew(ctx context.Context, view *View) bool {
	request := RenewRequest{Host: view.Self.Host, Epoch: view.Self.Epoch, Generation: view.Zone.Generation}
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	var calls sync.WaitGroup
	var promised atomic.Bool
	for _, member := range view.Zone.Members {
		if member.Host == view.Self.Host {
			continue
		}
		calls.Go(func() {
			if m.renewFrom(ctx, member, request, &view.Zone) {
				promised.Store(true)
			}
		})
	}
	calls.Wait()
	return promised.Load()
}

func (m *Member) renewFrom(
	ctx context.Context, member wharfzone.Member, request RenewRequest, zone *wharfzone.Zone,
) bool {
	sentAt := time.Now()
	reply, err := m.options.Peers.Renew(ctx, member.Peer, request)
	if err != nil {
		klog.V(1).InfoS("failed to request lease vote", "peer", member.Host, "error", err.Error())
		return false
	}
	vote := wharflease.Vote{Granted: reply.Granted, Promised: reply.Promised, Generation: reply.Generation}
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine == nil || m.machine.Self().Epoch != request.Epoch {
			return
		}
		if reply.Zone != nil {
			m.machine.Adopt(*reply.Zone, time.Now())
		}
		m.machine.Receive(member.Host, sentAt, vote)
		m.publish()
	})
	if reply.Generation < zone.Generation {
		_, _ = m.options.Peers.Adopt(ctx, member.Peer, AdoptRequest{Zone: *zone})
	}
	return reply.Promised
}

// renewFromWitness requests the witness's vote if the lease would otherwise expire within half a term.
func (m *Member) renewFromWitness(ctx context.Context) {
	needed := false
	_ = m.options.Loop.Do(ctx, func() {
		needed = m.machine != nil && m.machine.NeedsWitness(m.options.Term/2, time.Now())
	})
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.Term/renewalsPerTerm)
	defer cancel()
	zone, version, err := m.readZone(ctx)
	if err != nil || version == 0 {
		return
	}
	view := m.view.Load()
	if view == nil || !m.adopt(ctx, &zone) || !zone.HasMember(view.Self.Host, view.Self.Epoch) {
		return
	}
	sentAt := time.Now()
	voted := zone.WithVote(view.Self.Host)
	if err := m.commitZone(ctx, &voted, version); err != nil {
		return
	}
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine != nil && m.machine.Self().Epoch == view.Self.Epoch {
			m.machine.ReceiveWitness(sentAt, zone.Generation)
			m.publish()
		}
	})
}

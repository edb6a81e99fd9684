package wharfmember

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharflease"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfzone"
)

func (m *Member) needsJoin(ctx context.Context) bool {
	join := false
	_ = m.options.Loop.Do(ctx, func() {
		join = m.machine == nil || m.machine.Lost()
		if join && m.machine != nil {
			m.machine = nil
			m.view.Store(nil)
		}
	})
	return join && !m.leaving.Load()
}

func (m *Member) joinWithRetry(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil && !m.leaving.Load() {
		err := m.join(ctx)
		if err == nil {
			return
		}
		klog.V(1).InfoS("failed to join availability zone", "availability-zone", m.options.Zone, "error", err.Error())
		wharfpause.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// join commits a generation that contains this host, after a quorum has adopted the previous one.
func (m *Member) join(ctx context.Context) error {
	zone, version, err := m.readZone(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if version != 0 && !m.quorumAdopted(ctx, &zone) {
		return trace.Wrap(ErrNoQuorum)
	}
	next, self := zone.WithMember(wharfzone.Member{
		Host: m.options.Host, Peer: m.options.Peer, Caller: m.options.Caller,
	})
	next.Name = m.options.Zone
	if version == 0 {
		next.Witness = next.NeedsWitness()
	}
	if err := m.commitZone(ctx, &next, version); err != nil {
		return trace.Wrap(err)
	}
	klog.InfoS("joined", "availability-zone", m.options.Zone,
		"host", self.Host, "epoch", self.Epoch, "generation", next.Generation)
	return trace.Wrap(m.options.Loop.Do(ctx, func() {
		m.machine = wharflease.New(self, next, m.options.Term, m.options.Margin, time.Now())
		m.publish()
	}))
}

// quorumAdopted sends a generation to all voters and reports whether a quorum knows no later one.
func (m *Member) quorumAdopted(ctx context.Context, zone *wharfzone.Zone) bool {
	if len(zone.Members) == 0 {
		return true
	}
	count := 0
	if zone.Witness {
		count++
	}
	answers := m.callMembers(ctx, zone, func(ctx context.Context, to netip.AddrPort) bool {
		reply, err := m.options.Peers.Adopt(ctx, to, AdoptRequest{Zone: *zone})
		return err == nil && reply.Generation == zone.Generation
	})
	return count+answers >= zone.Quorum()
}

// Leave drops the lease and removes the host from its zone. The host must have stopped everything that requires the
// lease.
func (m *Member) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	if err := m.dropLease(ctx); err != nil {
		return trace.Wrap(err)
	}
	backoff := initialBackoff
	for {
		err := m.leave(ctx)
		if err == nil || ctx.Err() != nil {
			return trace.Wrap(err)
		}
		wharfpause.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

func (m *Member) dropLease(ctx context.Context) error {
	return trace.Wrap(m.options.Loop.Do(ctx, func() {
		m.machine = nil
		m.view.Store(nil)
	}))
}

func (m *Member) leave(ctx context.Context) error {
	zone, version, err := m.readZone(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, ok := zone.Find(m.options.Host); !ok {
		return nil
	}
	if !m.quorumAdopted(ctx, &zone) {
		return trace.Wrap(ErrNoQuorum)
	}
	next := zone.WithoutHost(m.options.Host)
	if err := m.commitZone(ctx, &next, version); err != nil {
		return trace.Wrap(err)
	}
	m.broadcastZone(ctx, &next)
	return nil
}

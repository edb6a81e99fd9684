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

func (m *Member) joinUntilDone(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil && !m.leaving.Load() {
		err := m.join(ctx)
		if err == nil {
			return
		}
		klog.V(1).InfoS("join failed", "availability-zone", m.options.Zone, "error", err.Error())
		wharfpause.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, largestBackoff)
	}
}

// join commits a generation in which this host stands, once a quorum has adopted the one before.
func (m *Member) join(ctx context.Context) error {
	zone, version, err := m.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if version != 0 && !m.adopted(ctx, &zone) {
		return trace.Wrap(ErrNoQuorum)
	}
	next, self := zone.WithMember(wharfzone.Member{Host: m.options.Host, Peer: m.options.Peer, Caller: m.options.Caller})
	next.Name = m.options.Zone
	if version == 0 {
		next.Witness = next.NeedsWitness()
	}
	if err := m.write(ctx, &next, version); err != nil {
		return trace.Wrap(err)
	}
	klog.InfoS("joined", "availability-zone", m.options.Zone, "host", self.Host, "epoch", self.Epoch, "generation", next.Generation)
	return trace.Wrap(m.options.Loop.Do(ctx, func() {
		m.machine = wharflease.New(self, next, m.options.Term, m.options.Margin, time.Now())
		m.publish()
	}))
}

// adopted tells all voters of a generation and reports whether a quorum knows no later one.
func (m *Member) adopted(ctx context.Context, zone *wharfzone.Zone) bool {
	if len(zone.Members) == 0 {
		return true
	}
	count := 0
	if zone.Witness {
		count++
	}
	answers := m.ask(ctx, zone, func(ctx context.Context, to netip.AddrPort) bool {
		reply, err := m.options.Peers.Adopt(ctx, to, AdoptRequest{Zone: *zone})
		return err == nil && reply.Generation == zone.Generation
	})
	return count+answers >= zone.Quorum()
}

// Leave gives the host's place up; the host must use nothing that hangs on its lease any more.
func (m *Member) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	if err := m.fence(ctx); err != nil {
		return trace.Wrap(err)
	}
	backoff := firstBackoff
	for {
		err := m.leave(ctx)
		if err == nil || ctx.Err() != nil {
			return trace.Wrap(err)
		}
		wharfpause.For(ctx, backoff)
		backoff = min(2*backoff, largestBackoff)
	}
}

func (m *Member) fence(ctx context.Context) error {
	return trace.Wrap(m.options.Loop.Do(ctx, func() {
		m.machine = nil
		m.view.Store(nil)
	}))
}

func (m *Member) leave(ctx context.Context) error {
	zone, version, err := m.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, ok := zone.Find(m.options.Host); !ok {
		return nil
	}
	if !m.adopted(ctx, &zone) {
		return trace.Wrap(ErrNoQuorum)
	}
	next := zone.WithoutHost(m.options.Host)
	if err := m.write(ctx, &next, version); err != nil {
		return trace.Wrap(err)
	}
	m.spread(ctx, &next)
	return nil
}

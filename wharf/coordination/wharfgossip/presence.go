package wharfgossip

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Presence is the liveness of a peer.
type Presence int

// The values of Presence.
const (
	Unheard Presence = iota // no message received yet
	Alive                   // heard from recently
	Quiet                   // not heard from recently; it may be unreachable
	Ended                   // its port refuses connections, so the process has exited
)

// String returns the presence's name in logs.
func (p Presence) String() string {
	return [...]string{"unheard", "alive", "quiet", "ended"}[p]
}

// quietLimit returns the silence after which a host of this zone or of another one counts as Quiet.
func quietLimit(sameZone, largeFleet bool) time.Duration {
	switch {
	case !largeFleet:
		return quietAfter
	case sameZone:
		return quietAfterInZone
	}
	return quietAfterElsewhere
}

// checkLiveness marks silent peers as Quiet and probes them to find those that have ended. In a large fleet, each host
// probes those of its own zone; allocators tell the others.
func (g *Gossip) checkLiveness(ctx context.Context, f *fanout) {
	now := time.Now()
	for _, p := range f.all {
		sameZone := p.Zone == g.options.Self.Zone
		limit := quietLimit(sameZone, !f.small)
		if sameZone && f.isAllocator() {
			limit = quietAfterAllocator
		}
		if p.Presence == Ended || (p.Presence == Alive && now.Sub(p.LastHeard) < limit) {
			continue
		}
		if p.Presence == Alive {
			g.setPresence(p, Quiet)
		}
		if (sameZone || f.small) && g.claimProbe(p.Host, now) {
			go g.probe(ctx, p)
		}
	}
}

func (g *Gossip) claimProbe(host string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[host]
	if p == nil || now.Sub(p.lastProbe) < probeInterval {
		return false
	}
	p.lastProbe = now
	return true
}

// probe opens a TCP connection to the peer. A refused or reset connection shows that its process has ended.
func (g *Gossip) probe(ctx context.Context, p Peer) {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.Address.String())
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		g.setPresence(p, Ended)
	}
}

// setPresence sets a peer's presence unless a message arrived since the peer was observed.
func (g *Gossip) setPresence(observed Peer, presence Presence) {
	g.mu.Lock()
	p := g.peers[observed.Host]
	if p == nil || p.Incarnation != observed.Incarnation ||
		!p.LastHeard.Equal(observed.LastHeard) || p.Presence == presence {
		g.mu.Unlock()
		return
	}
	p.Presence = presence
	if presence == Ended {
		p.endedAt = time.Now()
	}
	g.recordChange(p)
	snapshot := *p
	g.mu.Unlock()
	g.NotifyChange()
	g.options.OnPeerChange(snapshot)
}

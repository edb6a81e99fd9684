package wharfgossip

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Presence says what is known of a peer.
type Presence int

// The presences.
const (
	Unheard Presence = iota // nothing was heard yet
	Alive                   // heard from just now
	Quiet                   // not heard from for a while; it may be cut off
	Ended                   // its host says that no process listens there
)

// String returns the presence's name for logs.
func (p Presence) String() string {
	return [...]string{"unheard", "alive", "quiet", "ended"}[p]
}

// watch doubts the peers that are silent, and finds out which of them have ended.
func (g *Gossip) watch(ctx context.Context, peers []Peer) {
	now := time.Now()
	limit := max(silentAfter, silentPeriods*periodOf(len(peers)))
	for _, p := range peers {
		if p.Presence == Ended || (p.Presence == Alive && now.Sub(p.LastHeard) < limit) {
			continue
		}
		if p.Presence == Alive {
			g.change(p, Quiet)
		}
		if g.mayProbe(p.Host, now) {
			go g.probe(ctx, p)
		}
	}
}

func (g *Gossip) mayProbe(host string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[host]
	if p == nil || now.Sub(p.probed) < probePeriod {
		return false
	}
	p.probed = now
	return true
}

// probe asks the peer's host for a connection: a refusal shows that no process listens there.
func (g *Gossip) probe(ctx context.Context, p Peer) {
	dialer := net.Dialer{Timeout: probeLimit}
	conn, err := dialer.DialContext(ctx, "tcp", p.Address.String())
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		g.change(p, Ended)
	}
}

// change sets the presence of a peer unless it was heard from since.
func (g *Gossip) change(seen Peer, presence Presence) {
	g.mu.Lock()
	p := g.peers[seen.Host]
	if p == nil || p.Incarnation != seen.Incarnation || !p.LastHeard.Equal(seen.LastHeard) || p.Presence == presence {
		g.mu.Unlock()
		return
	}
	p.Presence = presence
	g.moved = true
	copied := *p
	g.mu.Unlock()
	g.options.OnPeerChange(copied)
}

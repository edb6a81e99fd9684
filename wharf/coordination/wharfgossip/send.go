package wharfgossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpause"
)

// sendAll sends the whole state from time to time, and changes soon after they come about.
func (g *Gossip) sendAll(ctx context.Context) {
	for round := 0; ; round++ {
		_ = g.hasMoved()
		c := g.draw()
		g.sendState(c, round)
		g.watch(ctx, c.all)
		period := periodOf(len(c.all))
		next := time.NewTimer(period + rand.N(period/4))
		for waiting := true; waiting; {
			select {
			case <-next.C:
				waiting = false
			case <-g.touched:
				if g.hasMoved() {
					c = g.draw()
				}
				if !wharfpause.For(ctx, time.Duration(len(c.close)+len(c.contacts))*changePerPeer) {
					return
				}
				g.sendChanges(c)
			case <-ctx.Done():
				return
			}
		}
	}
}

// periodOf returns the time between two messages with the whole state.
func periodOf(peers int) time.Duration {
	return max(basePeriod, time.Duration(peers)*periodPerPeer)
}

// sendChanges tells hosts what has changed: those close by also what other zones have told this host, contacts that they
// tell their zone. In a divided zone the others hear only of what they may have to do with, and contacts only of
// endpoints in their own zone.
func (g *Gossip) sendChanges(c *circle) {
	changes, relayed := g.options.TakeChanges(), g.takeRelays()
	g.sendLoads(loadsOf(changes, func(wharffleet.Change) bool { return true }), relayed, c.close)
	if !c.divided() {
		g.spreadLoads(loadsOf(changes, func(wharffleet.Change) bool { return true }), c.contacts)
		return
	}
	g.sendLoads(loadsOf(changes, func(c wharffleet.Change) bool { return c.OutsideSubset }), relayed, c.others)
	for _, contact := range c.contacts {
		g.spreadLoads(loadsOf(changes, func(c wharffleet.Change) bool { return c.Zone == contact.Zone }), []Peer{contact})
	}
}

func loadsOf(changes []wharffleet.Change, wanted func(wharffleet.Change) bool) []wharffleet.Load {
	loads := make([]wharffleet.Load, 0, len(changes))
	for _, c := range changes {
		if wanted(c) {
			loads = append(loads, c.Load)
		}
	}
	return loads
}

func (g *Gossip) sendLoads(loads []wharffleet.Load, relayed []Relayed, peers []Peer) {
	if len(peers) == 0 || len(loads) == 0 && len(relayed) == 0 {
		return
	}
	message := g.options.Self
	message.Partial, message.Loads, message.Relayed = true, loads, relayed
	g.deliver(&message, peers)
}

func (g *Gossip) spreadLoads(loads []wharffleet.Load, contacts []Peer) {
	if len(contacts) == 0 || len(loads) == 0 {
		return
	}
	message := g.options.Self
	message.Partial, message.Loads, message.Spread = true, loads, true
	g.deliver(&message, contacts)
}

// relay keeps the changes of a host of another zone until the own zone is told.
func (g *Gossip) relay(m *Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := g.relays[m.Host]
	if kept == nil || kept.Incarnation != m.Incarnation {
		g.relays[m.Host] = &Relayed{Host: m.Host, Incarnation: m.Incarnation, Sequence: m.Sequence, Loads: slices.Clone(m.Loads)}
		return
	}
	kept.Sequence = m.Sequence
	for _, load := range m.Loads {
		same := func(l wharffleet.Load) bool { return l.Endpoint == load.Endpoint }
		if i := slices.IndexFunc(kept.Loads, same); i >= 0 {
			load.Faults += kept.Loads[i].Faults
			load.Served += kept.Loads[i].Served
			kept.Loads[i] = load
			continue
		}
		kept.Loads = append(kept.Loads, load)
	}
}

func (g *Gossip) takeRelays() []Relayed {
	g.mu.Lock()
	defer g.mu.Unlock()
	relayed := make([]Relayed, 0, len(g.relays))
	for _, r := range g.relays {
		relayed = append(relayed, *r)
	}
	clear(g.relays)
	return relayed
}

// acceptRelayed takes over what another host of the zone was told. It shows nothing of the presence of who told it.
func (g *Gossip) acceptRelayed(r *Relayed) {
	g.mu.Lock()
	p := g.peers[r.Host]
	if p == nil || p.Presence != Alive || r.Incarnation != p.LastMessage.Incarnation || r.Sequence <= p.loads {
		g.mu.Unlock()
		return
	}
	p.loads = r.Sequence
	zone := p.Zone
	g.mu.Unlock()
	g.options.OnMessage(&Message{Host: r.Host, Zone: zone, Incarnation: r.Incarnation, Sequence: r.Sequence, Partial: true, Loads: r.Loads})
}

// sendState sends the whole state, and in most rounds a brief one to other zones of a large fleet.
func (g *Gossip) sendState(c *circle, round int) {
	if round%farRounds == 0 {
		g.sendWhole(c.all)
		return
	}
	message := g.options.Self
	g.options.FillState(&message)
	g.deliver(&message, c.near)
	if len(c.far) == 0 {
		return
	}
	message.Partial, message.Brief, message.Loads, message.Levels = true, true, nil, Levels{}
	g.deliver(&message, c.far)
}

// sendWhole sends the whole state.
func (g *Gossip) sendWhole(peers []Peer) {
	message := g.options.Self
	g.options.FillState(&message)
	g.deliver(&message, peers)
}

func (g *Gossip) deliver(m *Message, peers []Peer) {
	g.mu.Lock()
	g.sent++
	m.Sequence = g.sent
	conn := g.conn
	g.mu.Unlock()
	if conn == nil {
		return
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "gossip message not encoded")
		return
	}
	for _, p := range peers {
		g.write(conn, p, data)
	}
}

func (g *Gossip) write(conn *net.UDPConn, p Peer, data []byte) {
	_, err := conn.WriteToUDPAddrPort(data, p.Address)
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNREFUSED) {
		klog.V(1).InfoS("gossip message not sent", "peer", p.Host, "error", err.Error())
	}
}

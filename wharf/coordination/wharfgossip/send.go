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

// sendLoop sends the full state periodically, and load changes after a short batching delay.
func (g *Gossip) sendLoop(ctx context.Context) {
	for round := 0; ; round++ {
		_ = g.takeFanoutStale()
		f := g.computeFanout()
		g.sendState(f, round)
		g.checkLiveness(ctx, f.all)
		period := stateInterval(len(f.all))
		next := time.NewTimer(period + rand.N(period/4))
		for waiting := true; waiting; {
			select {
			case <-next.C:
				waiting = false
			case <-g.changeSignal:
				if g.takeFanoutStale() {
					f = g.computeFanout()
				}
				if !wharfpause.For(ctx, time.Duration(len(f.neighbours)+len(f.contacts))*changeDelayPerPeer) {
					return
				}
				g.sendChanges(f)
			case <-ctx.Done():
				return
			}
		}
	}
}

// stateInterval returns the time between two rounds of state messages for a number of peers.
func stateInterval(peers int) time.Duration {
	return max(minStateInterval, time.Duration(peers)*stateIntervalPerPeer)
}

// sendChanges sends load changes to neighbours and contacts, and forwards those relayed from other zones to its zone.
// If the zone has non-neighbours, they receive only changes outside this host's subset, and each contact only changes
// of endpoints in its zone.
func (g *Gossip) sendChanges(f *fanout) {
	changes, relayed := g.options.TakeChanges(), g.drainRelays()
	g.sendPartial(loadsOf(changes, func(wharffleet.Change) bool { return true }), relayed, f.neighbours)
	if !f.hasNonNeighbours() {
		g.sendToContacts(loadsOf(changes, func(wharffleet.Change) bool { return true }), f.contacts)
		return
	}
	g.sendPartial(loadsOf(changes, func(c wharffleet.Change) bool { return c.OutsideSubset }), relayed, f.nonNeighbours)
	for _, contact := range f.contacts {
		g.sendToContacts(
			loadsOf(changes, func(c wharffleet.Change) bool { return c.Zone == contact.Zone }), []Peer{contact})
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

func (g *Gossip) sendPartial(loads []wharffleet.Load, relayed []Relayed, peers []Peer) {
	if len(peers) == 0 || len(loads) == 0 && len(relayed) == 0 {
		return
	}
	message := g.options.Self
	message.Partial, message.Loads, message.Relayed = true, loads, relayed
	g.send(&message, peers)
}

func (g *Gossip) sendToContacts(loads []wharffleet.Load, contacts []Peer) {
	if len(contacts) == 0 || len(loads) == 0 {
		return
	}
	message := g.options.Self
	message.Partial, message.Loads, message.Spread = true, loads, true
	g.send(&message, contacts)
}

// queueRelay stores the load changes of a host of another zone until they are forwarded within this zone.
func (g *Gossip) queueRelay(m *Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	pending := g.pendingRelays[m.Host]
	if pending == nil || pending.Incarnation != m.Incarnation {
		g.pendingRelays[m.Host] = &Relayed{
			Host: m.Host, Incarnation: m.Incarnation, Sequence: m.Sequence, Loads: slices.Clone(m.Loads),
		}
		return
	}
	pending.Sequence = m.Sequence
	for _, load := range m.Loads {
		same := func(l wharffleet.Load) bool { return l.Endpoint == load.Endpoint }
		if i := slices.IndexFunc(pending.Loads, same); i >= 0 {
			load.Faults += pending.Loads[i].Faults
			load.Served += pending.Loads[i].Served
			pending.Loads[i] = load
			continue
		}
		pending.Loads = append(pending.Loads, load)
	}
}

func (g *Gossip) drainRelays() []Relayed {
	g.mu.Lock()
	defer g.mu.Unlock()
	relayed := make([]Relayed, 0, len(g.pendingRelays))
	for _, r := range g.pendingRelays {
		relayed = append(relayed, *r)
	}
	clear(g.pendingRelays)
	return relayed
}

// handleRelayed applies load changes that a contact forwarded. It does not update the originating host's presence.
func (g *Gossip) handleRelayed(r *Relayed) {
	g.mu.Lock()
	p := g.peers[r.Host]
	if p == nil || p.Presence != Alive || r.Incarnation != p.LastMessage.Incarnation || r.Sequence <= p.loadsSequence {
		g.mu.Unlock()
		return
	}
	p.loadsSequence = r.Sequence
	zone := p.Zone
	g.mu.Unlock()
	g.options.OnMessage(&Message{
		Host: r.Host, Zone: zone, Incarnation: r.Incarnation, Sequence: r.Sequence, Partial: true, Loads: r.Loads,
	})
}

// sendState sends the full state, or in most rounds of a large fleet a brief state to other zones.
func (g *Gossip) sendState(f *fanout, round int) {
	if round%fullStateRounds == 0 {
		g.sendFullState(f.all)
		return
	}
	message := g.options.Self
	g.options.FillState(&message)
	g.send(&message, f.fullState)
	if len(f.briefState) == 0 {
		return
	}
	message.Partial, message.Brief, message.Loads, message.Levels = true, true, nil, Levels{}
	g.send(&message, f.briefState)
}

// sendFullState sends the full state to the given peers.
func (g *Gossip) sendFullState(peers []Peer) {
	message := g.options.Self
	g.options.FillState(&message)
	g.send(&message, peers)
}

func (g *Gossip) send(m *Message, peers []Peer) {
	g.mu.Lock()
	g.sequence++
	m.Sequence = g.sequence
	conn := g.conn
	g.mu.Unlock()
	if conn == nil {
		return
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "failed to encode gossip message")
		return
	}
	for _, p := range peers {
		g.writeTo(conn, p, data)
	}
}

func (g *Gossip) writeTo(conn *net.UDPConn, p Peer, data []byte) {
	_, err := conn.WriteToUDPAddrPort(data, p.Address)
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNREFUSED) {
		klog.V(1).InfoS("failed to send gossip message", "peer", p.Host, "error", err.Error())
	}
}

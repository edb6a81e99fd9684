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

// sendLoop sends the full state periodically, load changes after a short batching delay, and on the zone's first
// allocator the zone's loads to other zones.
func (g *Gossip) sendLoop(ctx context.Context) {
	var zoneLoads <-chan time.Time
	lastZoneLoads := map[string][]wharffleet.Load{}
	for round := 0; ; round++ {
		f, _ := g.refreshFanout()
		clear(lastZoneLoads) // the last message may have been lost
		if zoneLoads == nil && f.isFirstAllocator() {
			zoneLoads = time.After(zoneLoadsInterval)
		}
		g.sendState(f, round)
		g.checkLiveness(ctx, f)
		period := f.stateInterval()
		next := time.NewTimer(period + rand.N(period/4))
		for waiting := true; waiting; {
			select {
			case <-next.C:
				waiting = false
			case <-zoneLoads:
				zoneLoads = nil
				if f.isFirstAllocator() {
					zoneLoads = time.After(g.sendZoneLoads(f, lastZoneLoads))
				}
			case <-g.changeSignal:
				if !wharfpause.For(ctx, f.changeDelay()) {
					return
				}
				f = g.sendChanges(f)
			case <-ctx.Done():
				return
			}
		}
	}
}

// stateInterval returns the time between two rounds of state messages.
func (f *fanout) stateInterval() time.Duration {
	if !f.small {
		return largeStateInterval
	}
	return max(minStateInterval, time.Duration(len(f.all))*stateIntervalPerPeer)
}

// changeDelay returns how long changes are batched before they are sent.
func (f *fanout) changeDelay() time.Duration {
	if !f.small {
		return largeChangeDelay
	}
	return time.Duration(len(f.all)) * changeDelayPerPeer
}

// sendState sends the full state to the direct peers and, on an allocator, digests.
func (g *Gossip) sendState(f *fanout, round int) {
	g.sendFullState(f.direct)
	g.sendLoadsElsewhere(f)
	if f.isAllocator() {
		g.sendDigests(f, round)
	}
}

// sendChanges sends the load changes, in a large fleet to the allocators of the endpoints' zones. It returns the
// current fanout.
func (g *Gossip) sendChanges(f *fanout) *fanout {
	if g.takeFanoutStale() {
		var changed bool
		if f, changed = g.refreshFanout(); changed && !f.small {
			g.sendFullState(f.direct) // a new allocator does not know this host's loads yet
		}
	}
	g.sendNews(f)
	changes := g.options.TakeChanges()
	if len(changes) == 0 {
		return f
	}
	g.sendLoads(loadsOf(changes, func(wharffleet.Change) bool { return true }), f.changeReceivers())
	for zone, allocators := range f.remote {
		g.sendLoads(loadsOf(changes, func(c wharffleet.Change) bool { return c.Zone == zone }), allocators)
	}
	return f
}

// changeReceivers returns the peers that receive all changes: all of a small fleet, or the zone's other allocators.
func (f *fanout) changeReceivers() []Peer {
	if f.small {
		return f.all
	}
	return slices.DeleteFunc(slices.Clone(f.direct), func(p Peer) bool {
		return !slices.ContainsFunc(f.allocators, func(a AllocatorHost) bool { return a.Host == p.Host })
	})
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

func (g *Gossip) sendLoads(loads []wharffleet.Load, peers []Peer) {
	if len(peers) == 0 || len(loads) == 0 {
		return
	}
	message := g.options.Self
	message.Partial, message.Loads = true, loads
	g.send(&message, peers)
}

// sendZoneLoads sends the loads of this zone's endpoints to the allocators of other zones, if they have changed since
// last. It returns the time until the next call.
func (g *Gossip) sendZoneLoads(f *fanout, last map[string][]wharffleet.Load) time.Duration {
	zoneOf := make(map[string]string, len(f.all))
	for _, p := range f.all {
		zoneOf[p.Host] = p.Zone
	}
	longest := 0
	for zone, allocators := range f.remote {
		loads := g.options.ZoneLoads(func(host string) bool { return zoneOf[host] == zone })
		longest = max(longest, len(loads))
		if previous, sent := last[zone]; sent && slices.Equal(loads, previous) {
			continue
		}
		last[zone] = loads
		message := g.options.Self
		message.Partial, message.ZoneLoads = true, loads
		g.send(&message, allocators)
	}
	return zoneLoadsInterval + time.Duration(longest)*zoneLoadsPerEndpoint
}

// sendFullState sends the full state to the given peers.
func (g *Gossip) sendFullState(peers []Peer) {
	if len(peers) == 0 {
		return
	}
	message := g.options.Self
	message.Status = g.options.Status()
	g.options.FillState(&message)
	g.send(&message, peers)
}

// sendNoLoads has peers drop the loads that they have heard from this host.
func (g *Gossip) sendNoLoads(peers []Peer) {
	if len(peers) == 0 {
		return
	}
	message := g.options.Self
	message.Status = g.options.Status()
	g.send(&message, peers)
}

// sendLoadsElsewhere sends this host's loads on the endpoints of other zones to the allocators there, which may have
// missed a change or taken over. A zone on which it has none any more hears so once.
func (g *Gossip) sendLoadsElsewhere(f *fanout) {
	for zone, allocators := range f.remote {
		loads := g.options.LoadsIn(zone)
		if len(loads) == 0 && !g.loadedZones[zone] {
			continue
		}
		g.loadedZones[zone] = len(loads) > 0
		message := g.options.Self
		message.Status, message.Loads = g.options.Status(), loads
		g.send(&message, allocators)
	}
}

func (g *Gossip) nextSequence() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	return g.sequence
}

func (g *Gossip) send(m *Message, peers []Peer) {
	m.Sequence = g.nextSequence()
	g.mu.Lock()
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

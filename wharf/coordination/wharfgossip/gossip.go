package wharfgossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharffleet"
)

const (
	// basePeriod is the time between two messages to each peer in a small fleet: a tenth of the time a stream runs, so
	// that a tenth of the load is out of date.
	basePeriod = 100 * time.Millisecond
	// periodPerPeer lengthens the period in large fleets, so that a host sends at most 100 messages a second.
	periodPerPeer = 10 * time.Millisecond
	// changePerPeer is the time that changes wait for others, for each peer that is told of them: at ten hosts the tenth
	// part of a usual request's time to its first event, and never more than two thousand messages a second.
	changePerPeer = 500 * time.Microsecond
	// farPeers is the number of peers from which changes are told to each host of the own zone only; in each other zone
	// one host is told, which tells the others there.
	farPeers = 24
	// farRounds is the number of messages to other zones in a large fleet of which one has loads and levels: changes of
	// load come at once, and levels are asked for in the own zone first. Bytes between zones cost.
	farRounds = 4
	// silentAfter is the silence after which a peer's state is doubted: several lost datagrams in a row. In large fleets
	// it is silentPeriods of the longer period.
	silentAfter   = 700 * time.Millisecond
	silentPeriods = 4
	// probeLimit bounds the connection that tells a process that has ended from one that is out of reach.
	probeLimit = 300 * time.Millisecond
	// probePeriod is the time between two such connections to a silent peer.
	probePeriod = 500 * time.Millisecond
	// largestMessage bounds a datagram in bytes.
	largestMessage = 60 << 10
)

// Peer is another host.
type Peer struct {
	Host        string
	Zone        string
	Address     netip.AddrPort
	Incarnation uint64
	Presence    Presence
	LastHeard   time.Time
	LastMessage *Message // never changed, but replaced by a newer one; an empty one if none has come
	loads       uint64   // sequence of the last message, direct or relayed, whose loads were taken over
	probed      time.Time
}

// Options are a gossip's settings and hooks; hooks may be called from several goroutines.
type Options struct {
	Listen            netip.AddrPort             // for datagrams; others send them to the address in Self
	Self              Message                    // host, zone, address and incarnation
	FillState         func(m *Message)           // adds the present state before a message is sent
	TakeChanges       func() []wharffleet.Change // returns what has changed since the last call
	OnMessage         func(m *Message)           // takes a newer message over
	OnPeerChange      func(p Peer)               // a peer's presence or incarnation has changed
	OnRankChange      func(rank, count int)      // the place of this host among those of its zone has changed
	NeighbourFraction func() float64             // part of the zone's hosts, in the order of their names, that share endpoints
}

// Gossip exchanges messages with all peers.
type Gossip struct {
	options Options
	mu      sync.Mutex
	peers   map[string]*Peer
	conn    *net.UDPConn
	sent    uint64
	relays  map[string]*Relayed // of hosts of other zones, that the own zone is to be told
	moved   bool                // peers have come, gone or changed since the circle was drawn
	touched chan struct{}
}

// New returns a gossip without peers.
func New(options Options) *Gossip {
	return &Gossip{options: options, peers: map[string]*Peer{}, relays: map[string]*Relayed{}, touched: make(chan struct{}, 1)}
}

// AddPeer adds hosts from the membership rows; what a host says of itself goes before it.
func (g *Gossip) AddPeer(host, zone string, address netip.AddrPort, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if host == g.options.Self.Host {
		return
	}
	p := g.peers[host]
	if p == nil {
		g.peers[host] = &Peer{Host: host, Zone: zone, Address: address, Incarnation: incarnation, LastMessage: &Message{}}
		g.moved = true
		return
	}
	if incarnation > p.Incarnation {
		g.moved = true
		p.Zone, p.Address, p.Incarnation, p.Presence = zone, address, incarnation, Unheard
	}
}

// RemovePeer forgets a host whose membership row is gone.
func (g *Gossip) RemovePeer(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.peers, host)
	g.moved = true
}

// Peers returns the other hosts.
func (g *Gossip) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		peers = append(peers, *p)
	}
	return peers
}

// Peer returns a host, if it is known.
func (g *Gossip) Peer(host string) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[host]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// RequestYield asks a host at once to stop a batch item at an endpoint.
func (g *Gossip) RequestYield(host, endpoint string) {
	peer, known := g.Peer(host)
	if !known {
		return
	}
	message := g.options.Self
	message.Partial = true
	message.Yields = []string{endpoint}
	g.deliver(&message, []Peer{peer})
}

// NotifyChange has changes sent to all peers soon; it does not block.
func (g *Gossip) NotifyChange() {
	select {
	case g.touched <- struct{}{}:
	default:
	}
}

// Broadcast sends the present state to all peers at once.
func (g *Gossip) Broadcast() {
	g.sendWhole(g.Peers())
}

// Serve sends and receives until ctx ends.
func (g *Gossip) Serve(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(g.options.Listen))
	if err != nil {
		return trace.Wrap(err)
	}
	g.mu.Lock()
	g.conn = conn
	g.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var senders sync.WaitGroup
	senders.Go(func() { g.sendAll(ctx) })
	err = g.receiveAll(ctx, conn)
	senders.Wait()
	return trace.Wrap(err)
}

func (g *Gossip) receiveAll(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, largestMessage)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, syscall.ECONNREFUSED) {
				continue
			}
			return trace.Wrap(err)
		}
		var message Message
		if err := cbor.Unmarshal(buffer[:n], &message); err != nil {
			klog.V(1).InfoS("gossip message not understood", "error", err.Error())
			continue
		}
		g.accept(&message)
	}
}

func (g *Gossip) accept(m *Message) {
	if m.Host == g.options.Self.Host {
		return
	}
	g.mu.Lock()
	p := g.peers[m.Host]
	if p == nil {
		p = &Peer{Host: m.Host, LastMessage: &Message{}}
		g.peers[m.Host] = p
	}
	if m.Incarnation < p.Incarnation || (m.Incarnation == p.LastMessage.Incarnation && m.Sequence <= p.LastMessage.Sequence) {
		g.mu.Unlock()
		return
	}
	changed := p.Presence != Alive || p.Incarnation != m.Incarnation
	g.moved = g.moved || changed
	p.Zone, p.Address, p.Incarnation = m.Zone, m.Address, m.Incarnation
	p.Presence, p.LastHeard = Alive, time.Now()
	p.take(m)
	copied := *p
	g.mu.Unlock()
	if changed {
		g.options.OnPeerChange(copied)
	}
	g.options.OnMessage(m)
	if m.Spread {
		g.relay(m)
		g.NotifyChange()
	}
	for i := range m.Relayed {
		g.acceptRelayed(&m.Relayed[i])
	}
}

// take remembers a message; a partial one leaves what it does not tell as it was.
func (p *Peer) take(m *Message) {
	before := p.LastMessage
	if m.Incarnation != before.Incarnation {
		p.loads = 0
	}
	if !m.Partial || len(m.Loads) > 0 {
		p.loads = max(p.loads, m.Sequence)
	}
	if !m.Partial {
		p.LastMessage = m
		return
	}
	merged := *before
	if m.Brief {
		merged = *m
		merged.Loads, merged.Levels = before.Loads, before.Levels
	}
	merged.Incarnation, merged.Sequence = m.Incarnation, m.Sequence
	p.LastMessage = &merged
}

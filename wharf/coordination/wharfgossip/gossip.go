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
	// minStateInterval is the time between two state messages to each peer in a small fleet: a tenth of the duration
	// of a typical stream, so that about a tenth of the known load is stale.
	minStateInterval = 100 * time.Millisecond
	// stateIntervalPerPeer lengthens the interval in large fleets, so that a host sends at most 100 state messages per
	// second.
	stateIntervalPerPeer = 10 * time.Millisecond
	// changeDelayPerPeer is how long changes are batched before they are sent, for each receiving peer. With ten hosts
	// the delay is a tenth of a typical time to first event, and a host never sends more than 2000 messages per
	// second.
	changeDelayPerPeer = 500 * time.Microsecond
	// largeFleetPeers is the number of peers above which a host sends changes only to its own zone and to one contact
	// in each other zone, which forwards them there.
	largeFleetPeers = 24
	// fullStateRounds is the number of rounds in a large fleet of which one sends loads and levels to other zones.
	// Load changes are sent immediately and tokens are pulled from the same zone first, so the rest would only add
	// cross-zone traffic.
	fullStateRounds = 4
	// quietAfter is the silence after which a peer counts as Quiet; it allows for several lost datagrams in a row. In
	// large fleets the limit is quietIntervals state intervals.
	quietAfter     = 700 * time.Millisecond
	quietIntervals = 4
	// probeTimeout bounds the TCP connection attempt that distinguishes an ended process from an unreachable one.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time between two probes of the same peer.
	probeInterval = 500 * time.Millisecond
	// maxMessageBytes is the maximum size of a datagram.
	maxMessageBytes = 60 << 10
)

// Peer is the state known of another host.
type Peer struct {
	Host          string
	Zone          string
	Address       netip.AddrPort
	Incarnation   uint64
	Presence      Presence
	LastHeard     time.Time
	LastMessage   *Message // the merged state; replaced, never modified, and empty before the first message
	loadsSequence uint64   // sequence of the newest message, direct or relayed, whose loads were applied
	lastProbe     time.Time
}

// Options configures a Gossip. The callbacks may be called from several goroutines.
type Options struct {
	Listen       netip.AddrPort             // local UDP address; peers send to Self.Address
	Self         Message                    // host, zone, address and incarnation
	FillState    func(m *Message)           // adds the current state to a message before it is sent
	TakeChanges  func() []wharffleet.Change // returns the load changes since the last call
	OnMessage    func(m *Message)           // called with each message that is not stale
	OnPeerChange func(p Peer)               // called when a peer's presence or incarnation changes
	// OnRankChange is called with this host's rank in its zone and the number of hosts in the zone.
	OnRankChange func(rank, count int)
	// NeighbourFraction returns the fraction of the zone's hosts, on each side in the ring of host names, that share
	// endpoints with this host.
	NeighbourFraction func() float64
}

// Gossip exchanges state with all peers. It is safe for concurrent use.
type Gossip struct {
	options       Options
	mu            sync.Mutex
	peers         map[string]*Peer
	conn          *net.UDPConn
	sequence      uint64
	pendingRelays map[string]*Relayed // by host of another zone; to be forwarded within this zone
	fanoutStale   bool                // peers were added, removed or changed since the fanout was computed
	changeSignal  chan struct{}
}

// New returns a Gossip without peers.
func New(options Options) *Gossip {
	return &Gossip{
		options:       options,
		peers:         map[string]*Peer{},
		pendingRelays: map[string]*Relayed{},
		changeSignal:  make(chan struct{}, 1),
	}
}

// AddPeer adds or updates a host from its membership row. It ignores the row if the peer itself has announced the same
// or a newer incarnation.
func (g *Gossip) AddPeer(host, zone string, address netip.AddrPort, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if host == g.options.Self.Host {
		return
	}
	p := g.peers[host]
	if p == nil {
		g.peers[host] = &Peer{
			Host: host, Zone: zone, Address: address, Incarnation: incarnation, LastMessage: &Message{},
		}
		g.fanoutStale = true
		return
	}
	if incarnation > p.Incarnation {
		g.fanoutStale = true
		p.Zone, p.Address, p.Incarnation, p.Presence = zone, address, incarnation, Unheard
	}
}

// RemovePeer removes a host whose membership row was deleted.
func (g *Gossip) RemovePeer(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.peers, host)
	g.fanoutStale = true
}

// Peers returns a copy of the state of all other hosts.
func (g *Gossip) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		peers = append(peers, *p)
	}
	return peers
}

// Peer returns a copy of the state of a host and whether the host is known.
func (g *Gossip) Peer(host string) (Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[host]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// RequestYield immediately asks a host to stop one batch item at an endpoint.
func (g *Gossip) RequestYield(host, endpoint string) {
	peer, known := g.Peer(host)
	if !known {
		return
	}
	message := g.options.Self
	message.Partial = true
	message.Yields = []string{endpoint}
	g.send(&message, []Peer{peer})
}

// NotifyChange schedules sending the load changes to peers. It does not block.
func (g *Gossip) NotifyChange() {
	select {
	case g.changeSignal <- struct{}{}:
	default:
	}
}

// Broadcast immediately sends the full state to all peers.
func (g *Gossip) Broadcast() {
	g.sendFullState(g.Peers())
}

// Serve sends and receives messages until ctx is done.
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
	senders.Go(func() { g.sendLoop(ctx) })
	err = g.receiveLoop(ctx, conn)
	senders.Wait()
	return trace.Wrap(err)
}

func (g *Gossip) receiveLoop(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, maxMessageBytes)
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
			klog.V(1).InfoS("failed to decode gossip message", "error", err.Error())
			continue
		}
		g.handleMessage(&message)
	}
}

func (g *Gossip) handleMessage(m *Message) {
	if m.Host == g.options.Self.Host {
		return
	}
	g.mu.Lock()
	p := g.peers[m.Host]
	if p == nil {
		p = &Peer{Host: m.Host, LastMessage: &Message{}}
		g.peers[m.Host] = p
	}
	if m.Incarnation < p.Incarnation ||
		(m.Incarnation == p.LastMessage.Incarnation && m.Sequence <= p.LastMessage.Sequence) {
		g.mu.Unlock()
		return
	}
	changed := p.Presence != Alive || p.Incarnation != m.Incarnation
	g.fanoutStale = g.fanoutStale || changed
	p.Zone, p.Address, p.Incarnation = m.Zone, m.Address, m.Incarnation
	p.Presence, p.LastHeard = Alive, time.Now()
	p.mergeMessage(m)
	snapshot := *p
	g.mu.Unlock()
	if changed {
		g.options.OnPeerChange(snapshot)
	}
	g.options.OnMessage(m)
	if m.Spread {
		g.queueRelay(m)
		g.NotifyChange()
	}
	for i := range m.Relayed {
		g.handleRelayed(&m.Relayed[i])
	}
}

// mergeMessage merges a message into the peer's state. A partial message leaves the fields that it does not carry
// unchanged.
func (p *Peer) mergeMessage(m *Message) {
	previous := p.LastMessage
	if m.Incarnation != previous.Incarnation {
		p.loadsSequence = 0
	}
	if !m.Partial || len(m.Loads) > 0 {
		p.loadsSequence = max(p.loadsSequence, m.Sequence)
	}
	if !m.Partial {
		p.LastMessage = m
		return
	}
	merged := *previous
	if m.Brief {
		merged = *m
		merged.Loads, merged.Levels = previous.Loads, previous.Levels
	}
	merged.Incarnation, merged.Sequence = m.Incarnation, m.Sequence
	p.LastMessage = &merged
}

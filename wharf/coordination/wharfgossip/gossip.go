package wharfgossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
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
	// stateIntervalPerPeer lengthens the interval with the number of peers, so that a host sends at most 100 state
	// messages per second.
	stateIntervalPerPeer = 10 * time.Millisecond
	// largeStateInterval is the time between two state messages to the zone's allocators, and between two digests from
	// them, in a large fleet. Changes of load are sent at once, so it only bounds how late lost messages are repaired
	// and silent hosts are noticed.
	largeStateInterval = 500 * time.Millisecond
	// zoneLoadsInterval and zoneLoadsPerEndpoint give the time between two messages with a zone's loads to other zones.
	zoneLoadsInterval    = 50 * time.Millisecond
	zoneLoadsPerEndpoint = time.Millisecond
	// changeDelayPerPeer is how long changes are batched before they are sent, for each receiving peer, in a small
	// fleet. With ten hosts the delay is a tenth of a typical time to first event, and a host never sends more than
	// 2000 messages per second.
	changeDelayPerPeer = 500 * time.Microsecond
	// largeChangeDelay is how long changes are batched in a large fleet, where few hosts receive them.
	largeChangeDelay = 2 * time.Millisecond
	// DefaultMaxMeshPeers is the number of peers above which hosts report to the allocators of their zone instead of to
	// all hosts.
	DefaultMaxMeshPeers = 24
	// quietAfter is the silence after which a peer counts as Quiet; it allows for several lost datagrams in a row.
	quietAfter = 700 * time.Millisecond
	// quietAfterInZone and quietAfterElsewhere are the silences in a large fleet, in which most peers are heard of
	// through one allocator or, from other zones, two.
	quietAfterInZone    = 2 * time.Second
	quietAfterAllocator = 1300 * time.Millisecond // by an allocator, which hears the hosts of its zone themselves
	quietAfterElsewhere = 4 * time.Second
	// probeTimeout bounds the TCP connection attempt that distinguishes an ended process from an unreachable one.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time between two probes of the same peer.
	probeInterval = 500 * time.Millisecond
	// maxMessageBytes is the maximum size of a datagram.
	maxMessageBytes = 60 << 10
)

// Peer is the state known of another host.
type Peer struct {
	Host           string
	Zone           string
	Address        netip.AddrPort
	Incarnation    uint64
	Presence       Presence
	LastHeard      time.Time // when it sent a message, to this host or to the allocator that told of it
	Status         Status
	Levels         Levels
	sequence       uint64 // of the newest message from the host itself
	statusSequence uint64 // of the message that Status and Levels are from
	endedAt        time.Time
	lastProbe      time.Time
}

// Options configures a Gossip. The callbacks may be called from several goroutines.
type Options struct {
	Listen       netip.AddrPort             // local UDP address; peers send to Self.Address
	Self         Message                    // host, zone, address and incarnation
	Status       func() Status              // returns this host's status
	FillState    func(m *Message)           // adds the current loads and levels to a message before it is sent
	TakeChanges  func() []wharffleet.Change // returns the load changes since the last call
	OnMessage    func(m *Message)           // called with each message that is not stale
	OnPeerChange func(p Peer)               // called when a peer's presence or incarnation changes
	// OnRankChange is called with this host's rank in its zone and the number of hosts in the zone.
	OnRankChange func(rank, count int)
	// ZoneLoads returns the loads on this zone's endpoints of all hosts but the excluded ones.
	ZoneLoads func(excluded func(host string) bool) []wharffleet.Load
	// LoadsIn returns this host's loads on the endpoints of a zone.
	LoadsIn func(zone string) []wharffleet.Load
	// MaxMeshPeers is the number of peers up to which all hosts tell each other everything directly.
	MaxMeshPeers int
}

// Gossip exchanges state with all peers. It is safe for concurrent use.
type Gossip struct {
	options       Options
	mu            sync.Mutex
	peers         map[string]*Peer
	conn          *net.UDPConn
	sequence      uint64
	loadedZones   map[string]bool // other zones on whose endpoints this host had loads in the last round
	fanoutStale   bool            // peers were added, removed or changed since the fanout was computed
	news          map[string]bool // hosts that changed since the last digest
	currentFanout atomic.Pointer[fanout]
	changeSignal  chan struct{}
}

// New returns a Gossip without peers.
func New(options Options) *Gossip {
	return &Gossip{
		options:      options,
		peers:        map[string]*Peer{},
		news:         map[string]bool{},
		loadedZones:  map[string]bool{},
		changeSignal: make(chan struct{}, 1),
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
		g.peers[host] = &Peer{Host: host, Zone: zone, Address: address, Incarnation: incarnation}
		g.fanoutStale = true
		return
	}
	if incarnation > p.Incarnation {
		g.fanoutStale = true
		p.startIncarnation(incarnation)
		p.Zone, p.Address = zone, address
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
	now := time.Now()
	g.mu.Lock()
	p := g.peers[m.Host]
	if p == nil {
		p = &Peer{Host: m.Host}
		g.peers[m.Host] = p
	}
	if m.Incarnation < p.Incarnation || (m.Incarnation == p.Incarnation && m.Sequence <= p.sequence) {
		g.mu.Unlock()
		return
	}
	changed := p.mergeMessage(m, now)
	if changed {
		g.recordChange(p)
	}
	snapshot := *p
	g.mu.Unlock()
	if changed {
		g.NotifyChange()
		g.options.OnPeerChange(snapshot)
	}
	g.options.OnMessage(m)
	for i := range m.Digest {
		g.handleDigestEntry(&m.Digest[i], now)
	}
	if len(m.Digest) > 0 {
		g.forwardDigest(m)
	}
}

// mergeMessage merges a message from the peer itself, and reports whether its presence, incarnation or readiness to
// allocate changed. A partial message leaves its status and levels unchanged.
func (p *Peer) mergeMessage(m *Message, now time.Time) (changed bool) {
	if m.Incarnation > p.Incarnation {
		p.startIncarnation(m.Incarnation)
		changed = true
	}
	changed = changed || p.Presence != Alive
	p.Zone, p.Address, p.sequence = m.Zone, m.Address, m.Sequence
	p.Presence, p.LastHeard = Alive, now
	if !m.Partial && m.Sequence >= p.statusSequence {
		changed = changed || selectionDiffers(p.Status, m.Status)
		p.Status, p.Levels, p.statusSequence = m.Status, m.Levels, m.Sequence
	}
	return changed
}

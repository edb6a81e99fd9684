package wharfhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/platform/wharfcatalog"
	"wagtailwharf.example/platform/wharfstoreclient"
	"wagtailwharf.example/platform/wharfwire"
	"wagtailwharf.example/wharf/coordination/wharfdirectory"
	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfjobrunner"
	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/coordination/wharflimiter"
	"wagtailwharf.example/wharf/coordination/wharfmonotone"
	"wagtailwharf.example/wharf/coordination/wharfrelay"
	"wagtailwharf.example/wharf/protocol/wharfhostcalls"
	"wagtailwharf.example/wharf/protocol/wharfhostsettings"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/transport/wharfdialer"
	"wagtailwharf.example/wharf/transport/wharfforwarder"
	"wagtailwharf.example/wharf/transport/wharffrontend"
	"wagtailwharf.example/wharf/transport/wharfhttpconn"
	"wagtailwharf.example/wharf/transport/wharfidle"
	"wagtailwharf.example/wharf/transport/wharfjobexecutor"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
	"wagtailwharf.example/wharf/transport/wharfrpc"
)

// Host is one daemon.
type Host struct {
	settings    wharfhostsettings.Settings
	incarnation uint64
	store       *wharfmonotone.Store
	relay       *wharfrelay.Store
	remote      *wharfstoreclient.Client
	pool        *wharfrpc.Pool
	calls       *wharfhostcalls.Client
	channels    *wharfhttpconn.Pool
	directory   *wharfdirectory.Directory
	gossip      *wharfgossip.Gossip
	limiter     *wharflimiter.Limiter
	fleet       *wharffleet.Fleet
	gate        *wharfgate.Gate[*wharffleet.Placement]
	ledger      *wharfpoison.Tracker
	book        *wharfjobstore.Store
	runner      *wharfjobrunner.Runner
	front       *wharffrontend.Server
	metrics     *wharfmetrics.Metrics
	callers     *http.Server
	members     members
	leaving     atomic.Bool
	drain       chan struct{}
	drainOnce   sync.Once
}

// New returns a daemon that serves when Run runs.
func New(settings wharfhostsettings.Settings) *Host {
	h := &Host{
		settings:    settings,
		incarnation: uint64(time.Now().UnixNano()),
		remote:      wharfstoreclient.New(settings.Store, wharfdialer.Dial),
		pool:        wharfrpc.NewPool("", settings.Peers.Addr()),
		channels:    wharfhttpconn.NewPool(),
		gate:        wharfgate.New[*wharffleet.Placement](),
		ledger:      wharfpoison.New(),
		metrics:     wharfmetrics.New(),
		drain:       make(chan struct{}),
	}
	h.relay = wharfrelay.New(wharfrelay.Options{
		Direct:    h.remote,
		Zone:      settings.Zone,
		Peers:     func() []wharfgossip.Peer { return h.gossip.Peers() },
		Call:      h.relayThrough,
		OnRelayed: func() { h.metrics.Count("store-calls-relayed") },
	})
	h.store = wharfmonotone.New(h.relay)
	h.calls = wharfhostcalls.New(h.pool)
	h.fleet = wharffleet.New(settings.Host, settings.Zone, func() { h.gossip.NotifyChange() })
	h.fleet.PreferConnected(h.channels.HasIdle)
	h.gossip = wharfgossip.New(wharfgossip.Options{
		Listen: settings.Peers,
		Self: wharfgossip.Message{
			Host: settings.Host, Zone: settings.Zone, Address: settings.PeerAddress(), Incarnation: h.incarnation,
		},
		FillState:         h.fill,
		TakeChanges:       h.fleet.Changes,
		OnMessage:         h.receive,
		OnPeerChange:      h.peerChanged,
		OnRankChange:      h.fleet.SetPosition,
		NeighbourFraction: h.fleet.SubsetFraction,
	})
	h.members = members{host: h, seen: map[string]sighting{}, started: time.Now()}
	h.directory = wharfdirectory.New(wharfdirectory.Options{
		Store: h.store, Decoder: wharfcatalog.New(), FetchSnapshot: h.askPeer, OnChange: h.viewChanged,
	})
	h.limiter = wharflimiter.New(wharflimiter.Options{Fresh: settings.FirstStart, Peers: h.gossip.Peers, Pull: h.pull})
	h.book = wharfjobstore.New(wharfjobstore.Options{Records: h.store, Host: settings.Host, Incarnation: h.incarnation})
	h.buildTraffic()
	return h
}

func (h *Host) buildTraffic() {
	forwarder := wharfforwarder.New(wharfwire.New(), h.channels)
	h.runner = wharfjobrunner.New(wharfjobrunner.Options{
		Host:        h.settings.Host,
		Incarnation: h.incarnation,
		Jobs:        h.book,
		Fleet:       h.fleet,
		Executor:    wharfjobexecutor.New(forwarder),
		Table:       h.table,
		Peers:       h.gossip.Peers,
		Retention:   time.Duration(h.settings.Jobs.Retention),
	})
	h.front = wharffrontend.New(wharffrontend.Options{
		Dialect:          wharfwire.New(),
		Table:            h.table,
		ConfigurationAge: h.directory.Age,
		Limiter:          h.limiter,
		Fleet:            h.fleet,
		Gate:             h.gate,
		Forwarder:        forwarder,
		Crashes:          h.ledger,
		Jobs:             h.book,
		Metrics:          h.metrics,
		ReportCrash:      h.strike,
		PreemptBatchItem: h.yield,
	})
	h.callers = &http.Server{
		Handler:           h.front,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    headerBytes,
		ConnState:         wharfidle.New(h.idleLimit).Track,
	}
}

// idleLimit returns how long the configuration in force lets a caller's connection be idle.
func (h *Host) idleLimit() time.Duration {
	if table := h.table(); table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}

const (
	// headerTime bounds the reading of a request's header, headerBytes its size: more than any configuration asks for.
	headerTime  = 10 * time.Second
	headerBytes = 64 << 10
	// callerIdle is how long a caller's connection may be idle where the configuration sets no limit.
	callerIdle = 60 * time.Second
)

func (h *Host) table() *wharfroute.Table {
	return h.directory.View().Table
}

// viewChanged brings a new configuration or new endpoints into force.
func (h *Host) viewChanged(v *wharfdirectory.View) {
	h.fleet.Update(v.Endpoints)
	if v.Table == nil {
		return
	}
	h.limiter.Configure(v.Table.Organisations)
	accepted := 0
	for _, s := range v.Table.Services {
		if accepted == 0 || s.MaxConnections < accepted {
			accepted = s.MaxConnections
		}
		h.gate.Dispatch(s.Name)
	}
	h.channels.SetIdleLimit(accepted, h.members.holders())
}

// fill adds the present state to a message to the other hosts.
func (h *Host) fill(m *wharfgossip.Message) {
	m.Leaving = h.leaving.Load()
	m.Served = h.relay.Reachable()
	m.StoreUnreachable = h.book.Unreachable()
	m.StoreVersion = h.directory.SyncedVersion()
	m.Loads = h.fleet.Loads()
	m.Levels = h.limiter.Levels()
}

// receive takes over what another host says.
func (h *Host) receive(m *wharfgossip.Message) {
	if m.Partial {
		for _, e := range h.fleet.ApplyChanges(m.Host, m.Loads) {
			klog.InfoS("endpoint avoided on the word of peers", "endpoint", e.Endpoint, "broken-off-in-a-row", e.Faults,
				"for", e.Duration.String(), "peer", m.Host)
		}
	} else {
		h.fleet.ReplaceLoads(m.Host, m.Loads)
	}
	for _, endpoint := range m.Yields {
		h.yieldHere(endpoint, m.Host)
	}
	for _, endpoint := range h.fleet.Overcommitted() {
		h.yieldHere(endpoint, "")
	}
	if h.gate.Waiting() > 0 {
		if table := h.table(); table != nil {
			for _, s := range table.Services {
				h.gate.Dispatch(s.Name)
			}
		}
	}
}

func (h *Host) peerChanged(p wharfgossip.Peer) {
	klog.InfoS("peer changed", "peer", p.Host, "peer-zone", p.Zone, "presence", p.Presence.String(), "incarnation", p.Incarnation,
		"heard", time.Since(p.LastHeard).String())
	if p.Presence == wharfgossip.Ended {
		h.fleet.Forget(p.Host)
	}
	h.limiter.SetHostCount(h.members.holders())
}

// yield asks for a batch item at an endpoint to be stopped, here or at the host that runs most there.
func (h *Host) yield(endpoint string) {
	host, found := h.fleet.YieldingHost(endpoint)
	if !found {
		return
	}
	if host == h.settings.Host {
		h.yieldHere(endpoint, h.settings.Host)
		return
	}
	h.metrics.Count("yields-asked")
	h.gossip.RequestYield(host, endpoint)
}

func (h *Host) yieldHere(endpoint, asker string) {
	if h.runner.Preempt(endpoint) {
		h.metrics.Count("yields")
		klog.V(1).InfoS("batch item stopped for an online request", "endpoint", endpoint, "asked-by", asker)
	}
}

// pull asks another host for tokens.
func (h *Host) pull(ctx context.Context, peer wharfgossip.Peer, organisation string, wanted float64) (float64, error) {
	h.metrics.Count("pulls")
	tokens, err := h.calls.Pull(ctx, peer.Address, wharfhostcalls.PullRequest{Organisation: organisation, Wanted: wanted})
	if err != nil {
		klog.InfoS("peer gave no tokens", "peer", peer.Host, "organisation", organisation, "error", err.Error())
	}
	return tokens, err
}

// relayThrough has another host call the store.
func (h *Host) relayThrough(ctx context.Context, peer wharfgossip.Peer, request wharfrelay.Request) (wharfrelay.Reply, error) {
	return h.calls.Relay(ctx, peer.Address, request)
}

// errNoPeer says that no host has heard from the store more recently.
var errNoPeer = errors.New("no host has heard from the store more recently")

// askPeer asks a host that has heard from the store more recently.
func (h *Host) askPeer(ctx context.Context) (wharfdirectory.Snapshot, error) {
	p, found := informant(h.gossip.Peers(), h.settings.Zone, h.directory.SyncedVersion())
	if !found {
		return wharfdirectory.Snapshot{}, errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	snapshot, err := h.calls.Snapshot(ctx, p.Address)
	if err != nil {
		klog.InfoS("peer did not tell what it knows", "peer", p.Host, "error", err.Error())
	}
	return snapshot, err
}

// informant returns any of the hosts that know more than a version of the store, one of the own zone if there is one: the
// host that knows most would be asked by all.
func informant(peers []wharfgossip.Peer, zone string, known uint64) (wharfgossip.Peer, bool) {
	var near, far []wharfgossip.Peer
	for _, p := range peers {
		switch {
		case p.Presence != wharfgossip.Alive || p.LastMessage.StoreVersion <= known:
		case p.Zone == zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return wharfgossip.Peer{}, false
	}
	return near[rand.IntN(len(near))], true
}

// askLimit bounds the question for another host's knowledge.
const askLimit = 500 * time.Millisecond

// strike counts an endpoint that crashed under a request and tells the other hosts.
func (h *Host) strike(fingerprint uint64, alone bool) {
	crashes := h.ledger.Strike(fingerprint, alone, time.Now())
	strike := wharfhostcalls.Strike{Fingerprint: fingerprint, Crashes: crashes, Alone: alone}
	for _, p := range h.gossip.Peers() {
		if p.Presence != wharfgossip.Alive {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askLimit)
			defer cancel()
			if err := h.calls.Strike(ctx, p.Address, strike); err != nil {
				klog.InfoS("peer not told of a crash", "peer", p.Host, "error", err.Error())
			}
		}()
	}
}

// Drain asks for a planned stop; it does not wait for it.
func (h *Host) Drain() {
	h.drainOnce.Do(func() { close(h.drain) })
}

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
	"wagtailwharf.example/wharf/coordination/wharfjobbook"
	"wagtailwharf.example/wharf/coordination/wharfjobrunner"
	"wagtailwharf.example/wharf/coordination/wharflimiter"
	"wagtailwharf.example/wharf/coordination/wharfmonotone"
	"wagtailwharf.example/wharf/coordination/wharfrelay"
	"wagtailwharf.example/wharf/protocol/wharfhostcalls"
	"wagtailwharf.example/wharf/protocol/wharfhostsettings"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/transport/wharfbatchitem"
	"wagtailwharf.example/wharf/transport/wharfchannel"
	"wagtailwharf.example/wharf/transport/wharfdial"
	"wagtailwharf.example/wharf/transport/wharfdialer"
	"wagtailwharf.example/wharf/transport/wharfforward"
	"wagtailwharf.example/wharf/transport/wharffront"
	"wagtailwharf.example/wharf/transport/wharfidle"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

// Host is one daemon.
type Host struct {
	settings       wharfhostsettings.Settings
	incarnation    uint64
	store          *wharfmonotone.Store
	relay          *wharfrelay.Store
	storeClient    *wharfstoreclient.Client
	peerPool       *wharfdial.Pool
	peerClient     *wharfhostcalls.Calls
	endpointPool   *wharfchannel.Pool
	directory      *wharfdirectory.Directory
	gossip         *wharfgossip.Gossip
	limiter        *wharflimiter.Limiter
	fleet          *wharffleet.Fleet
	gate           *wharfgate.Gate[*wharffleet.Placement]
	poison         *wharfpoison.Ledger
	jobs           *wharfjobbook.Book
	runner         *wharfjobrunner.Runner
	front          *wharffront.Server
	metrics        *wharfmetrics.Metrics
	callers        *http.Server
	membership     membership
	draining       atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// New returns a daemon that serves when Run runs.
func New(settings wharfhostsettings.Settings) *Host {
	h := &Host{
		settings:       settings,
		incarnation:    uint64(time.Now().UnixNano()),
		storeClient:    wharfstoreclient.New(settings.Store, wharfdialer.Dial),
		peerPool:       wharfdial.NewPool("", settings.Peers.Addr()),
		endpointPool:   wharfchannel.NewPool(),
		gate:           wharfgate.New[*wharffleet.Placement](),
		poison:         wharfpoison.New(),
		metrics:        wharfmetrics.New(),
		drainRequested: make(chan struct{}),
	}
	h.relay = wharfrelay.New(wharfrelay.Options{
		Direct:  h.storeClient,
		Zone:    settings.Zone,
		Peers:   func() []wharfgossip.Peer { return h.gossip.Peers() },
		Call:    h.relayViaPeer,
		Relayed: func() { h.metrics.Count("store-calls-relayed") },
	})
	h.store = wharfmonotone.New(h.relay)
	h.peerClient = wharfhostcalls.New(h.peerPool)
	h.fleet = wharffleet.New(settings.Host, settings.Zone, func() { h.gossip.Touch() })
	h.fleet.PreferWarm(h.endpointPool.Warm)
	h.gossip = wharfgossip.New(wharfgossip.Options{
		Listen: settings.Peers,
		Self: wharfgossip.Message{
			Host: settings.Host, Zone: settings.Zone, Address: settings.PeerAddress(), Incarnation: h.incarnation,
		},
		Fill:    h.fillMessage,
		Changes: h.fleet.Changes,
		Receive: h.handleMessage,
		Changed: h.onPeerChange,
		Settle:  h.fleet.Settle,
		Reach:   h.fleet.Reach,
	})
	h.membership = membership{host: h, observed: map[string]rowObservation{}, started: time.Now()}
	h.directory = wharfdirectory.New(wharfdirectory.Options{
		Store: h.store, Decoder: wharfcatalog.New(), Ask: h.fetchSnapshot, Changed: h.onViewChange,
	})
	h.limiter = wharflimiter.New(wharflimiter.Options{Fresh: settings.FirstStart, Peers: h.gossip.Peers, Pull: h.pullTokens})
	h.jobs = wharfjobbook.New(wharfjobbook.Options{Store: h.store, Host: settings.Host, Incarnation: h.incarnation})
	h.newTrafficServices()
	return h
}

func (h *Host) newTrafficServices() {
	forwarder := wharfforward.New(wharfwire.New(), h.endpointPool)
	h.runner = wharfjobrunner.New(wharfjobrunner.Options{
		Host:        h.settings.Host,
		Incarnation: h.incarnation,
		Book:        h.jobs,
		Fleet:       h.fleet,
		Executor:    wharfbatchitem.New(forwarder),
		Table:       h.table,
		Peers:       h.gossip.Peers,
		Keep:        time.Duration(h.settings.Jobs.Keep),
	})
	h.front = wharffront.New(wharffront.Options{
		Dialect:   wharfwire.New(),
		Table:     h.table,
		Age:       h.directory.Age,
		Limiter:   h.limiter,
		Fleet:     h.fleet,
		Gate:      h.gate,
		Forwarder: forwarder,
		Ledger:    h.poison,
		Book:      h.jobs,
		Metrics:   h.metrics,
		Strike:    h.reportCrash,
		Yield:     h.requestYield,
	})
	h.callers = &http.Server{
		Handler:           h.front,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         wharfidle.New(h.callerIdleTimeout).Track,
	}
}

// callerIdleTimeout returns how long the configuration in force lets a caller's connection be idle.
func (h *Host) callerIdleTimeout() time.Duration {
	if table := h.table(); table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}

const (
	// headerTimeout bounds the reading of a request's header, headerBytes its size: more than any configuration asks for.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is how long a caller's connection may be idle where the configuration sets no limit.
	defaultIdleTimeout = 60 * time.Second
)

func (h *Host) table() *wharfroute.Table {
	return h.directory.View().Table
}

// onViewChange brings a new configuration or new endpoints into force.
func (h *Host) onViewChange(v *wharfdirectory.View) {
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
		h.gate.Feed(s.Name)
	}
	h.endpointPool.Limit(accepted, h.membership.holders())
}

// fillMessage adds the present state to a message to the other hosts.
func (h *Host) fillMessage(m *wharfgossip.Message) {
	m.Leaving = h.draining.Load()
	m.Served = h.relay.Served()
	m.Stranded = h.jobs.Stranded()
	m.Informed = h.directory.Informed()
	m.Loads = h.fleet.Loads()
	m.Levels = h.limiter.Levels()
}

// handleMessage takes over what another host says.
func (h *Host) handleMessage(m *wharfgossip.Message) {
	if m.Partial {
		for _, e := range h.fleet.ReportChanges(m.Host, m.Loads) {
			klog.InfoS("endpoint avoided on the word of peers", "endpoint", e.Endpoint, "broken-off-in-a-row", e.Run,
				"for", e.For.String(), "peer", m.Host)
		}
	} else {
		h.fleet.Report(m.Host, m.Loads)
	}
	for _, endpoint := range m.Yields {
		h.yieldLocally(endpoint, m.Host)
	}
	for _, endpoint := range h.fleet.Overfull() {
		h.yieldLocally(endpoint, "")
	}
	if h.gate.Waiting() > 0 {
		if table := h.table(); table != nil {
			for _, s := range table.Services {
				h.gate.Feed(s.Name)
			}
		}
	}
}

func (h *Host) onPeerChange(p wharfgossip.Peer) {
	klog.InfoS("peer changed", "peer", p.Host, "peer-zone", p.Zone, "presence", p.Presence.String(), "incarnation", p.Incarnation,
		"heard", time.Since(p.Heard).String())
	if p.Presence == wharfgossip.Ended {
		h.fleet.Forget(p.Host)
	}
	h.limiter.SetHolders(h.membership.holders())
}

// requestYield asks for a batch item at an endpoint to be stopped, here or at the host that runs most there.
func (h *Host) requestYield(endpoint string) {
	host, found := h.fleet.Yielder(endpoint)
	if !found {
		return
	}
	if host == h.settings.Host {
		h.yieldLocally(endpoint, h.settings.Host)
		return
	}
	h.metrics.Count("yields-asked")
	h.gossip.Yield(host, endpoint)
}

func (h *Host) yieldLocally(endpoint, asker string) {
	if h.runner.Yield(endpoint) {
		h.metrics.Count("yields")
		klog.V(1).InfoS("batch item stopped for an online request", "endpoint", endpoint, "asked-by", asker)
	}
}

// pullTokens asks another host for tokens.
func (h *Host) pullTokens(ctx context.Context, peer wharfgossip.Peer, organisation string, wanted float64) (float64, error) {
	h.metrics.Count("pulls")
	tokens, err := h.peerClient.Pull(ctx, peer.Address, wharfhostcalls.PullRequest{Organisation: organisation, Wanted: wanted})
	if err != nil {
		klog.InfoS("peer gave no tokens", "peer", peer.Host, "organisation", organisation, "error", err.Error())
	}
	return tokens, err
}

// relayViaPeer has another host call the store.
func (h *Host) relayViaPeer(ctx context.Context, peer wharfgossip.Peer, request wharfrelay.Request) (wharfrelay.Reply, error) {
	return h.peerClient.Relay(ctx, peer.Address, request)
}

// errNoInformedPeer says that no host has heard from the store more recently.
var errNoInformedPeer = errors.New("no host has heard from the store more recently")

// fetchSnapshot asks a host that has heard from the store more recently.
func (h *Host) fetchSnapshot(ctx context.Context) (wharfdirectory.Snapshot, error) {
	p, found := pickInformedPeer(h.gossip.Peers(), h.settings.Zone, h.directory.Informed())
	if !found {
		return wharfdirectory.Snapshot{}, errNoInformedPeer
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	snapshot, err := h.peerClient.Snapshot(ctx, p.Address)
	if err != nil {
		klog.InfoS("peer did not tell what it knows", "peer", p.Host, "error", err.Error())
	}
	return snapshot, err
}

// pickInformedPeer returns any of the hosts that know more than a version of the store, one of the own zone if there is one: the
// host that knows most would be asked by all.
func pickInformedPeer(peers []wharfgossip.Peer, zone string, known uint64) (wharfgossip.Peer, bool) {
	var near, far []wharfgossip.Peer
	for _, p := range peers {
		switch {
		case p.Presence != wharfgossip.Alive || p.Last.Informed <= known:
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

// peerCallTimeout bounds the question for another host's knowledge.
const peerCallTimeout = 500 * time.Millisecond

// reportCrash counts an endpoint that crashed under a request and tells the other hosts.
func (h *Host) reportCrash(fingerprint uint64, alone bool) {
	crashes := h.poison.Strike(fingerprint, alone, time.Now())
	strike := wharfhostcalls.Strike{Fingerprint: fingerprint, Crashes: crashes, Alone: alone}
	for _, p := range h.gossip.Peers() {
		if p.Presence != wharfgossip.Alive {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			if err := h.peerClient.Strike(ctx, p.Address, strike); err != nil {
				klog.InfoS("peer not told of a crash", "peer", p.Host, "error", err.Error())
			}
		}()
	}
}

// Drain asks for a planned stop; it does not wait for it.
func (h *Host) Drain() {
	h.drainOnce.Do(func() { close(h.drainRequested) })
}

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
	"wagtailwharf.example/wagtailwharfd/wharfservice"
	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharfblocklist"
	"wagtailwharf.example/wharf/coordination/wharfdirectory"
	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/coordination/wharfjobrunner"
	"wagtailwharf.example/wharf/coordination/wharfjobstore"
	"wagtailwharf.example/wharf/coordination/wharflimiter"
	"wagtailwharf.example/wharf/coordination/wharfmonotone"
	"wagtailwharf.example/wharf/coordination/wharforigins"
	"wagtailwharf.example/wharf/coordination/wharfrelay"
	"wagtailwharf.example/wharf/coordination/wharfreleases"
	"wagtailwharf.example/wharf/protocol/wharfhostcalls"
	"wagtailwharf.example/wharf/protocol/wharfhostsettings"
	"wagtailwharf.example/wharf/state/wharfcrash"
	"wagtailwharf.example/wharf/state/wharfevacuation"
	"wagtailwharf.example/wharf/state/wharffleet"
	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfpace"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/transport/wharfbody"
	"wagtailwharf.example/wharf/transport/wharfdialer"
	"wagtailwharf.example/wharf/transport/wharfforwarder"
	"wagtailwharf.example/wharf/transport/wharffrontend"
	"wagtailwharf.example/wharf/transport/wharfhttpconn"
	"wagtailwharf.example/wharf/transport/wharfidle"
	"wagtailwharf.example/wharf/transport/wharfjobexecutor"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
	"wagtailwharf.example/wharf/transport/wharfrpc"
)

// Host is a routing daemon.
type Host struct {
	settings       wharfhostsettings.Settings
	incarnation    uint64 // start time in Unix nanoseconds
	store          *wharfmonotone.Store
	relay          *wharfrelay.Store
	storeClient    *wharfstoreclient.Client
	peerPool       *wharfrpc.Pool
	peerClient     *wharfhostcalls.Client
	endpointPool   *wharfhttpconn.Pool
	directory      *wharfdirectory.Directory
	gossip         *wharfgossip.Gossip
	limiter        *wharflimiter.Limiter
	fleet          *wharffleet.Fleet
	paces          *wharfpace.Paces // nil unless the settings say that endpoints are weighed by them
	releases       *wharfreleases.Releases
	origins        *wharforigins.Origins
	gate           *wharfgate.Gate[*wharffleet.Placement]
	allocator      *wharfallocator.Allocator
	crashes        *wharfcrash.Tracker
	blocklist      *wharfblocklist.List
	crashRecorded  chan struct{} // wakes settleCrashes
	sawCrash       atomic.Bool   // this host has recorded a crash itself since it last put a verdict in force
	jobs           *wharfjobstore.Store
	runner         *wharfjobrunner.Runner
	frontend       *wharffrontend.Server
	metrics        *wharfmetrics.Metrics
	callers        *http.Server
	connections    *wharfidle.Closer    // of callers
	memory         *wharfmemory.Account // for callers' bodies and responses about jobs
	jobMemory      *wharfmemory.Account // for items of accepted and adopted jobs
	membership     membership
	evacuations    *wharfevacuation.Set // of the latest view; used by onViewChange only
	turnedWarm     atomic.Bool          // a cold endpoint is warm again since registrations were last taken note of
	limitsCold     atomic.Bool          // a service has a limit for cold endpoints
	draining       atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// New returns a daemon; call Run to start it.
func New(settings wharfhostsettings.Settings) *Host {
	h := &Host{
		settings:       settings,
		incarnation:    uint64(time.Now().UnixNano()),
		storeClient:    wharfstoreclient.New(settings.Store, wharfdialer.Dial),
		peerPool:       wharfrpc.NewPool("", settings.Peers.Addr()),
		endpointPool:   wharfhttpconn.NewPool(),
		gate:           wharfgate.New[*wharffleet.Placement](),
		crashes:        wharfcrash.New(),
		crashRecorded:  make(chan struct{}, 1),
		metrics:        wharfmetrics.New(),
		drainRequested: make(chan struct{}),
	}
	h.relay = wharfrelay.New(wharfrelay.Options{
		Direct:    h.storeClient,
		Zone:      settings.Zone,
		Regions:   settings.Regions(),
		Peers:     func() []wharfgossip.Peer { return h.gossip.Peers() },
		Call:      h.relayViaPeer,
		OnRelayed: func() { h.metrics.Count("store-calls-relayed") },
	})
	h.store = wharfmonotone.New(h.relay)
	h.blocklist = wharfblocklist.New(h.store, h.crashes)
	h.peerClient = wharfhostcalls.New(h.peerPool)
	h.fleet = wharffleet.New(settings.Host, settings.Zone, func() { h.gossip.NotifyChange() })
	h.fleet.SetRegions(settings.Regions())
	h.fleet.PreferConnected(h.endpointPool.HasIdle)
	h.weighByPace()
	h.fleet.ReportColdness(h.logColdness)
	h.releases = wharfreleases.New(wharfreleases.Options{Store: h.store, Host: settings.Host, Live: h.liveHosts})
	h.fleet.RestrictNewRequests(h.releases.Admits)
	h.origins = wharforigins.New(wharforigins.Options{
		Store: h.store, Releases: h.releases, Host: settings.Host, Live: h.liveHosts, Count: h.metrics.Count,
	})
	h.gossip = h.newGossip()
	h.allocator = h.newAllocator()
	h.membership = membership{host: h, observed: map[string]rowObservation{}, started: time.Now()}
	h.newDirectory()
	h.limiter = wharflimiter.New(wharflimiter.Options{
		Fresh: settings.FirstStart, Peers: h.gossip.Peers, Borrow: h.pullTokens,
		Allocators:       h.gossip.Allocators,
		AdmitAt:          h.admitAt,
		Shares:           h.rateShares,
		RemoteAllocators: h.gossip.FirstRemoteAllocators,
	})
	h.newTrafficServices()
	return h
}

// newGossip returns the exchange of datagrams with other hosts.
func (h *Host) newGossip() *wharfgossip.Gossip {
	return wharfgossip.New(wharfgossip.Options{
		Listen: h.settings.Peers,
		Self: wharfgossip.Message{
			Host: h.settings.Host, Zone: h.settings.Zone, Address: h.settings.PeerAddress(), Incarnation: h.incarnation,
		},
		Status:       h.status,
		FillState:    h.fillMessage,
		TakeChanges:  h.fleet.Changes,
		OnMessage:    h.handleMessage,
		OnPeerChange: h.onPeerChange,
		OnRankChange: h.onRankChange,
		ZoneLoads:    h.fleet.ZoneLoads,
		LoadsIn:      h.fleet.LoadsIn,
		MaxMeshPeers: h.settings.MaxMeshPeers,
	})
}

// newDirectory sets up the directory, which passes the endpoints on to the fleet.
func (h *Host) newDirectory() {
	h.directory = wharfdirectory.New(wharfdirectory.Options{
		Store: h.store, Decoder: wharfcatalog.New(), FetchSnapshot: h.fetchSnapshot, OnChange: h.onViewChange,
		OnWritten: h.onRegistrationsWritten,
	})
	h.fleet.RequireCurrent(h.directory.Current)
}

// newTrafficServices sets up the services that handle requests and batch jobs.
func (h *Host) newTrafficServices() {
	h.jobMemory = wharfmemory.New(h.settings.MemoryMB<<20/jobShare, 0)
	h.jobs = wharfjobstore.New(wharfjobstore.Options{
		Records: h.store, Host: h.settings.Host, Incarnation: h.incarnation, Memory: h.jobMemory,
		Region: h.settings.Regions()[h.settings.Zone],
	})
	forwarder := wharfforwarder.New(wharfwire.New(), h.endpointPool)
	h.runner = wharfjobrunner.New(wharfjobrunner.Options{
		Host:        h.settings.Host,
		Incarnation: h.incarnation,
		Jobs:        h.jobs,
		Fleet:       h.fleet,
		Executor:    wharfjobexecutor.New(forwarder, h.settings.MemoryMB<<20/outputShare),
		Table:       h.table,
		Peers:       h.gossip.Peers,
		Allocator:   h.allocator,
		Paces:       h.paces,
		Zone:        h.settings.Zone,
		Regions:     h.settings.Regions(),
		Retention:   time.Duration(h.settings.Jobs.Retention),
	})
	h.memory = wharfmemory.New(h.settings.BodyMemory())
	h.frontend = wharffrontend.New(wharffrontend.Options{
		Dialect:          wharfwire.New(),
		Table:            h.table,
		ConfigurationAge: h.directory.Age,
		EndpointsAge:     h.directory.EndpointsAge,
		AwaitCurrent:     h.directory.AwaitCurrent,
		Evacuates:        h.fleet.Evacuates,
		Limiter:          h.limiter,
		Gate:             h.gate,
		Allocator:        h.allocator,
		Forwarder:        forwarder,
		Origins:          h.origins,
		Crashes:          h.crashes,
		Jobs:             h.jobs,
		Metrics:          h.metrics,
		Paces:            h.paces,
		Memory:           h.memory,
		Bodies: wharfbody.New(wharfbody.Options{
			Account: h.memory, MaxTime: time.Duration(h.settings.Limits.BodyTime), MinRate: h.settings.Limits.BodyRate,
		}),
		ReportCrash:  h.reportCrash,
		ReportAnswer: h.reportAnswer,
		TryBlocked:   h.tryBlocked,
	})
	h.connections = wharfidle.New(h.callerIdleTimeout)
	h.connections.Bound(h.settings.MaxConnections(wharfservice.OpenFiles()), h.memory.EndStalled)
	h.callers = &http.Server{
		Handler:           h.frontend,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         h.connections.Track,
	}
}

// callerIdleTimeout returns the idle timeout of caller connections in the current configuration, or 0 without one.
func (h *Host) callerIdleTimeout() time.Duration {
	if table := h.table(); table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}

const (
	// outputShare is the part of a host's memory, one in outputShare, that the outputs of running batch items take at most.
	outputShare = 8
	// jobShare is the part, one in jobShare, that the items of batch jobs take at most: three jobs of the largest size on the
	// smallest host.
	jobShare = 8
)

const (
	// headerTimeout bounds the time to read a request header and maxHeaderBytes its size. Both exceed the limits that a
	// configuration may set.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 32 << 10
	// defaultIdleTimeout is the idle timeout of caller connections if the configuration sets none.
	defaultIdleTimeout = 60 * time.Second
)

// table returns the current routing table, or nil if no configuration is known yet.
func (h *Host) table() *wharfroute.Table {
	return h.directory.View().Table
}

// onViewChange applies a new configuration or a new set of endpoints.
func (h *Host) onViewChange(v *wharfdirectory.View) {
	h.releases.Update(v.Endpoints)
	h.limitCold(v.Table)
	h.fleet.SetEvacuations(v.Evacuations)
	if v.Evacuations.Returns(h.evacuations) {
		h.gate.ForgetIntervals()
	}
	h.evacuations = v.Evacuations
	h.fleet.Update(v.Endpoints)
	if v.Table == nil {
		return
	}
	h.limiter.Configure(v.Table.Organisations)
	maxConnections := 0
	for _, s := range v.Table.Services {
		if maxConnections == 0 || s.MaxConnections < maxConnections {
			maxConnections = s.MaxConnections
		}
		h.gate.Dispatch(s.Name)
	}
	h.endpointPool.SetIdleLimit(maxConnections, h.membership.hostCount())
}

// fillMessage adds this host's current loads and levels to an outgoing gossip message.
func (h *Host) fillMessage(m *wharfgossip.Message) {
	m.Loads = h.fleet.Loads()
	if !h.allocator.Exact() {
		m.Levels = h.limiter.Levels()
	}
}

// status returns what this host tells its peers about itself.
func (h *Host) status() wharfgossip.Status {
	return wharfgossip.Status{
		Leaving:          h.draining.Load(),
		Served:           h.relay.Reachable(),
		StoreUnreachable: h.jobs.Unreachable(),
		StoreVersion:     h.directory.SyncedVersion(),
		Capacity:         h.allocationCapacity(),
		AdmittedBy:       h.admittedBy(),
	}
}

// handleMessage applies a gossip message from another host.
func (h *Host) handleMessage(m *wharfgossip.Message) {
	switch {
	case !m.Partial:
		h.fleet.ReplaceLoads(m.Host, m.Loads)
	case m.ZoneLoads != nil:
		h.fleet.ReplaceLoads(zoneHost(m.Zone), m.ZoneLoads)
	case len(m.Loads) > 0:
		for _, e := range h.fleet.ApplyChanges(m.Host, m.Loads) {
			klog.InfoS("endpoint ejected on peer reports", "endpoint", e.Endpoint, "broken-off-in-a-row", e.Faults,
				"for", e.Duration.String(), "peer", m.Host)
		}
	}
	for _, endpoint := range m.Yields {
		h.handleYield(endpoint, m.Host)
	}
	if len(m.Loads) == 0 && len(m.ZoneLoads) == 0 {
		return
	}
	for _, endpoint := range h.fleet.Overcommitted() {
		h.yieldLocally(endpoint, "")
	}
	if h.gate.Waiting() > 0 {
		if table := h.table(); table != nil {
			for _, s := range table.Services {
				h.gate.Dispatch(s.Name)
			}
		}
	}
}

// onPeerChange applies a change of another host's presence.
func (h *Host) onPeerChange(p wharfgossip.Peer) {
	// Hundreds of hosts would each log every change of all others; the allocators of their zone do.
	verbosity := klog.Level(0)
	if p.Zone != h.settings.Zone && h.allocator.Exact() && h.admittedBy() != "" {
		verbosity = 1
	}
	klog.V(verbosity).InfoS("peer changed", "peer", p.Host, "peer-zone", p.Zone, "presence", p.Presence.String(),
		"incarnation", p.Incarnation, "heard", time.Since(p.LastHeard).String())
	if p.Presence == wharfgossip.Ended {
		h.fleet.Forget(p.Host)
	}
	if p.Presence == wharfgossip.Alive {
		h.tellVerdicts(p)
	}
	h.limiter.SetHostCount(h.membership.hostCount())
}

// pullTokens requests rate limit tokens from another host.
func (h *Host) pullTokens(ctx context.Context, peer wharfgossip.Peer, loan wharflimiter.Loan) (float64, error) {
	h.metrics.Count("pulls")
	tokens, err := h.peerClient.Pull(ctx, peer.Address, wharfhostcalls.PullRequest(loan))
	if err != nil {
		klog.InfoS("token pull failed", "peer", peer.Host, "organisation", loan.Organisation, "error", err.Error())
	}
	return tokens, err
}

// relayViaPeer sends a store request through another host.
func (h *Host) relayViaPeer(
	ctx context.Context, peer wharfgossip.Peer, request wharfrelay.Request,
) (wharfrelay.Reply, error) {
	return h.peerClient.Relay(ctx, peer.Address, request)
}

// errNoSnapshotPeer is returned if no peer has newer data from the store.
var errNoSnapshotPeer = errors.New("no peer has newer data from the store")

// fetchSnapshot fetches a snapshot of the configuration and the endpoints from a peer with newer data from the store or, with
// orEqual, from one of any zone with data as new.
func (h *Host) fetchSnapshot(ctx context.Context, orEqual bool) (wharfdirectory.Snapshot, error) {
	zone, known := h.settings.Zone, h.directory.SyncedVersion()
	p, found := pickSnapshotPeer(h.gossip.Peers(), zone, known)
	if !found && orEqual && known > 0 {
		p, found = pickSnapshotPeer(h.gossip.Peers(), "", known-1)
	}
	if !found {
		return wharfdirectory.Snapshot{}, errNoSnapshotPeer
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	snapshot, err := h.peerClient.Snapshot(ctx, p.Address)
	if err != nil {
		klog.InfoS("snapshot request failed", "peer", p.Host, "error", err.Error())
		return snapshot, err
	}
	h.releases.Merge(snapshot.Admitted)
	return snapshot, nil
}

// snapshot returns this host's state for a peer.
func (h *Host) snapshot() wharfdirectory.Snapshot {
	s := h.directory.Snapshot()
	s.Admitted = h.releases.Admitted()
	return s
}

// liveHosts returns the hosts that are alive, including this one.
func (h *Host) liveHosts() []string {
	live := []string{h.settings.Host}
	for _, p := range h.gossip.Peers() {
		if p.Presence == wharfgossip.Alive && !p.Status.Leaving {
			live = append(live, p.Host)
		}
	}
	return live
}

// pickSnapshotPeer returns a random live peer that knows a newer store version than known, preferably in zone. It does
// not pick the peer with the newest version, because every host would then send its request to that one.
func pickSnapshotPeer(peers []wharfgossip.Peer, zone string, known uint64) (wharfgossip.Peer, bool) {
	var sameZone, otherZones []wharfgossip.Peer
	for _, p := range peers {
		switch {
		case p.Presence != wharfgossip.Alive || p.Status.StoreVersion <= known:
		case p.Zone == zone:
			sameZone = append(sameZone, p)
		default:
			otherZones = append(otherZones, p)
		}
	}
	if len(sameZone) == 0 {
		sameZone = otherZones
	}
	if len(sameZone) == 0 {
		return wharfgossip.Peer{}, false
	}
	return sameZone[rand.IntN(len(sameZone))], true
}

// peerCallTimeout bounds a snapshot request to a peer and a crash report.
const peerCallTimeout = 500 * time.Millisecond

// Drain requests a graceful shutdown and returns without waiting for it.
func (h *Host) Drain() {
	h.drainOnce.Do(func() { close(h.drainRequested) })
}

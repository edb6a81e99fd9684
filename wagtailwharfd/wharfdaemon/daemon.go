package wharfdaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wagtailwharfd/wharfservice"
	"wagtailwharf.example/wharf/coordination/wharfbatch"
	"wagtailwharf.example/wharf/coordination/wharfcontrol"
	"wagtailwharf.example/wharf/coordination/wharfgate"
	"wagtailwharf.example/wharf/coordination/wharfjobs"
	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfonce"
	"wagtailwharf.example/wharf/coordination/wharforder"
	"wagtailwharf.example/wharf/coordination/wharfquota"
	"wagtailwharf.example/wharf/coordination/wharfreport"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
	"wagtailwharf.example/wharf/protocol/wharfpeer"
	"wagtailwharf.example/wharf/protocol/wharfsettings"
	"wagtailwharf.example/wharf/state/wharfbudget"
	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/transport/wharfbatchexecutor"
	"wagtailwharf.example/wharf/transport/wharfbody"
	"wagtailwharf.example/wharf/transport/wharfendpointclient"
	"wagtailwharf.example/wharf/transport/wharfgateway"
	"wagtailwharf.example/wharf/transport/wharfidle"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
	"wagtailwharf.example/wharf/transport/wharfoperator"
	"wagtailwharf.example/wharf/transport/wharfrpc"
	"wagtailwharf.example/wharf/transport/wharfstore"
)

const (
	headerTimeout        = 5 * time.Second
	maxHeaderBytes       = 32 << 10
	callerIdleTimeout    = 2 * time.Minute
	handoverTimeout      = 10 * time.Second // to release the quota shards and the lease at shutdown
	stopLimit            = 5 * time.Second
	operatorWriteTimeout = time.Minute
)

// ErrLeaving is returned by Ready while the daemon shuts down gracefully.
var ErrLeaving = errors.New("host is leaving")

// ErrNotReady is returned by Ready while the daemon holds no lease, has no configuration or does not yet own all quota
// shards assigned to it.
var ErrNotReady = errors.New("host holds no lease, has no configuration or has not taken its quota shards")

// Daemon is an entry daemon: it accepts requests from callers and forwards them to endpoints.
type Daemon struct {
	settings         wharfsettings.Settings
	store            *wharfstore.Client
	peerPool         *wharfrpc.Pool
	peers            *wharfpeer.Client
	loop             *wharfcontrol.Loop
	member           *wharfmember.Member
	quotaOwner       *wharfquota.Owner
	quotaClient      *wharfquota.Client
	rollout          *wharfrollout.Rollout
	picker           *wharfpick.Picker
	runner           *wharfbatch.Runner
	reporter         *wharfreport.Reporter
	orderReconciler  *wharforder.Reconciler
	endpointClient   *wharfendpointclient.Client
	poison           *wharfpoison.Tracker
	metrics          *wharfmetrics.Metrics
	gateway          *wharfgateway.Server
	operators        *wharfoperator.Server
	callers          *http.Server
	connections      *wharfidle.Closer // of callers
	memory           *wharfmemory.Account
	drainRequested   chan struct{}
	drainOnce        sync.Once
	draining         chan struct{}
	leavingEndpoints atomic.Pointer[[]string] // endpoints marked as leaving in the platform's host list
	background
	endpointsMu    sync.Mutex
	endpointInputs endpointInputs
}

// Tokens holds the secrets that authenticate peers and operators.
type Tokens struct {
	Peer     string
	Operator string
}

// New returns a daemon; call Run to start it. If wrap is not nil, it decorates the client for calls to peers. New
// returns an error if the settings contain an invalid signer key.
func New(
	settings wharfsettings.Settings, tokens Tokens, wrap func(wharfpeer.Caller) wharfpeer.Caller,
) (*Daemon, error) {
	signers, err := settings.SignerKeys()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{
		settings:       settings,
		store:          wharfstore.New(settings.Platform, settings.Zone),
		peerPool:       wharfrpc.NewPool(tokens.Peer, settings.Peers.Addr()),
		loop:           wharfcontrol.New(),
		endpointClient: wharfendpointclient.New(),
		poison:         wharfpoison.New(),
		metrics:        wharfmetrics.New(),
		drainRequested: make(chan struct{}),
		draining:       make(chan struct{}),
	}
	var caller wharfpeer.Caller = d.peerPool
	if wrap != nil {
		caller = wrap(caller)
	}
	d.peers = wharfpeer.New(caller)
	d.buildCoordination(wharfrollout.Options{
		Zone:               settings.Zone,
		Signers:            signers,
		RequiredSignatures: settings.Signing.Needed,
		Storage:            d.store,
		Peers:              d.peers,
		Loop:               d.loop,
		OnChange:           d.onConfigChange,
	})
	d.buildServers(tokens)
	return d, nil
}

// buildCoordination sets up membership, quotas, configuration rollout and batch jobs.
func (d *Daemon) buildCoordination(rollout wharfrollout.Options) {
	s := &d.settings
	d.member = wharfmember.New(wharfmember.Options{
		Host:    s.Host,
		Zone:    s.Zone,
		Peer:    s.Peers,
		Caller:  s.Callers,
		Term:    time.Duration(s.Lease.Term),
		Margin:  time.Duration(s.Lease.Margin),
		Storage: d.store,
		Peers:   d.peers,
		Loop:    d.loop,
	})
	rollout.Member = d.member
	d.rollout = wharfrollout.New(rollout)
	d.quotaOwner = wharfquota.NewOwner(s.Zone, d.store, d.member, d.loop, d.rollout.Snapshot)
	d.quotaClient = wharfquota.NewClient(s.Zone, s.Peers, d.store, d.quotaOwner, d.peers, d.member.Live)
	d.picker = wharfpick.New(s.Zone, func(e *wharfpick.Endpoint) { d.reporter.MarkChanged(e) })
	d.runner = wharfbatch.New(wharfbatch.Options{
		Zone:         s.Zone,
		Storage:      d.store,
		Member:       d.member,
		Config:       d.rollout.Snapshot,
		Executor:     wharfbatchexecutor.New(d.endpointClient, d.poison, d.metrics),
		Peers:        d.peers,
		Headroom:     d.headroom(),
		IgnoreOnline: s.Policies.Batch != wharfsettings.BatchPreemptible,
	})
	d.reporter = wharfreport.New(d.member, d.runner, d.peers, func() *wharfpick.Picker { return d.picker })
	d.orderReconciler = wharforder.New(s.Zone, d.member, d.rollout.Snapshot, d.endpointClient)
	if s.Policies.Rate == wharfsettings.RateShared {
		d.quotaOwner.DrawFromZone = d.quotaClient.Draw
	}
	if s.Policies.Endpoint == wharfsettings.EndpointRandom {
		d.picker.UseRandom()
	}
}

// headroom returns the share of an endpoint's slots, from 0 to 1, that batch items leave free for online requests.
func (d *Daemon) headroom() float64 {
	if d.settings.Policies.Batch == wharfsettings.BatchUncontrolled {
		return 0
	}
	return d.settings.Batch.Headroom
}

// newGate returns the admission queue with the configured queue policy.
func (d *Daemon) newGate() *wharfgate.Gate[*wharfpick.Endpoint] {
	gate := wharfgate.New[*wharfpick.Endpoint]()
	if d.settings.Policies.Queue == wharfsettings.QueueFIFO {
		gate.UseFIFO()
	}
	return gate
}

// buildServers sets up the HTTP servers for callers and operators.
func (d *Daemon) buildServers(tokens Tokens) {
	limits := &d.settings.Limits
	d.memory = wharfmemory.New(d.settings.BodyMemory())
	d.gateway = wharfgateway.New(wharfgateway.Options{
		Memory: d.memory,
		Bodies: wharfbody.New(wharfbody.Options{
			Account: d.memory, MaxTime: time.Duration(limits.BodyTimeout), MinRate: limits.BodyRate,
		}),
		Snapshot:     d.rollout.Snapshot,
		LeaseHeld:    d.inForce,
		Quota:        d.quotaClient,
		Gate:         d.newGate(),
		Picker:       d.picker,
		Client:       d.endpointClient,
		Jobs:         wharfjobs.New(d.store),
		Reservations: wharfonce.New(d.store),
		Crashes:      d.poison,
		ReportCrash:  d.reportCrash,
		StopJob:      d.stopJob,
		Budget:       wharfbudget.New(limits.RetryShare),
		Metrics:      d.metrics,
		Limits: wharfgateway.Limits{
			MaxBodyBytes:     limits.MaxBodyBytes,
			MaxUploadBytes:   limits.MaxUploadBytes,
			QueueTimeout:     time.Duration(limits.QueueTimeout),
			FirstByteTimeout: time.Duration(limits.FirstByteTimeout),
			IdleTimeout:      time.Duration(limits.IdleTimeout),
			BodyTimeout:      time.Duration(limits.BodyTimeout),
			MaxAttempts:      limits.MaxAttempts,
		},
	})
	d.operators = wharfoperator.New(wharfoperator.Options{
		Token:   tokens.Operator,
		Ready:   d.Ready,
		Drain:   d.Drain,
		Storage: d.store,
		Member:  d.member,
		Rollout: d.rollout,
		Picker:  d.picker,
		Metrics: d.metrics,
		Vars:    d.vars,
	})
	d.connections = wharfidle.New(func() time.Duration { return callerIdleTimeout })
	d.connections.Bound(d.settings.MaxConnections(wharfservice.OpenFiles()), d.memory.EndStalled)
	d.callers = &http.Server{
		Handler: d.gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: d.connections.Track,
	}
}

// inForce reports whether the daemon may serve requests that need an API key: it holds a valid lease and has read the
// configuration since it joined.
func (d *Daemon) inForce() bool {
	return d.member.InForce() && d.rollout.CaughtUp()
}

// Ready returns nil if the load balancer may send requests to this host, and ErrLeaving or ErrNotReady otherwise.
func (d *Daemon) Ready() error {
	select {
	case <-d.draining:
		return ErrLeaving
	default:
	}
	if !d.inForce() || d.rollout.Snapshot() == nil || !d.quotaOwner.Ready() {
		return ErrNotReady
	}
	return nil
}

// Drain requests a graceful shutdown and returns without waiting for it.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.drainRequested) })
}

// Run serves until ctx is done, which aborts requests in flight, or until a graceful shutdown requested by Drain has
// completed.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.start(ctx)
	defer d.wait()
	server, err := wharfpeer.NewServer(ctx, wharfpeer.Handlers{
		Member:   d.member,
		Owner:    d.quotaOwner,
		Rollout:  d.rollout,
		Reporter: d.reporter,
		Runner:   d.runner,
		Crashes:  d.poison,
		Leaving:  d.setLeaving,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	tree := d.supervisor(listeners, server)
	done := tree.ServeBackground(ctx)
	defer d.closeConnections()
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-d.drainRequested:
		d.shutDown(ctx, listeners.callers)
		cancel()
		<-done
		return nil
	}
}

// closeConnections closes the connections to peers, and the idle ones to endpoints and the store.
func (d *Daemon) closeConnections() {
	d.peerPool.Close()
	d.endpointClient.Close()
	d.store.Close()
}

// listeners holds the open listeners of a daemon.
type listeners struct {
	callers, peers, operators net.Listener
}

// listen opens all configured listeners, with TLS where certificates are set. On error, it closes those already open.
func (d *Daemon) listen() (*listeners, error) {
	var opened listeners
	for _, binding := range []struct {
		address string
		to      *net.Listener
	}{
		{d.settings.Callers.String(), &opened.callers},
		{d.settings.Peers.String(), &opened.peers},
		{d.settings.Operators.String(), &opened.operators},
	} {
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			opened.close()
			return nil, trace.Wrap(err)
		}
		*binding.to = listener
	}
	if err := d.enableTLS(&opened); err != nil {
		opened.close()
		return nil, trace.Wrap(err)
	}
	return &opened, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// vars returns the counters, latencies and state that the operator interface publishes.
func (d *Daemon) vars() map[string]any {
	vars := map[string]any{
		"counters":       d.metrics.Counters(),
		"latencies":      d.metrics.Summaries(),
		"peer-bytes-in":  d.peerPool.BytesIn.Load(),
		"peer-bytes-out": d.peerPool.BytesOut.Load(),
		"peer-calls":     d.peerPool.Calls.Load(),
		"batch-running":  d.runner.Running(),
		"in-force":       d.inForce(),

		"caller-connections":  d.connections.Counts(),
		"caller-memory":       d.memory.Held(),
		"caller-memory-limit": d.memory.Size(),
		"slow-bodies-ended":   d.memory.Ended(),
	}
	if snapshot := d.rollout.Snapshot(); snapshot != nil {
		vars["config-version"] = snapshot.Version
	}
	if view := d.member.View(); view != nil {
		vars["epoch"] = view.Self.Epoch
		vars["generation"] = view.Zone.Generation
		vars["live-hosts"] = fmt.Sprint(view.LiveHosts())
	}
	addRuntimeVars(vars)
	return vars
}

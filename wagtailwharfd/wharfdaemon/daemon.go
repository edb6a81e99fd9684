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
	"wagtailwharf.example/wharf/state/wharfpick"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/transport/wharfbatchexecutor"
	"wagtailwharf.example/wharf/transport/wharfendpointclient"
	"wagtailwharf.example/wharf/transport/wharfgateway"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
	"wagtailwharf.example/wharf/transport/wharfoperator"
	"wagtailwharf.example/wharf/transport/wharfrpc"
	"wagtailwharf.example/wharf/transport/wharfstore"
)

const (
	headerTime    = 5 * time.Second
	headerBytes   = 32 << 10
	callerIdle    = 2 * time.Minute
	leaveLimit    = 10 * time.Second
	stopLimit     = 5 * time.Second
	operatorWrite = time.Minute
)

// ErrLeaving says that the daemon is on its way to a planned stop.
var ErrLeaving = errors.New("host is leaving")

// ErrNotReady says that the daemon holds no lease, has no configuration or lacks quota shards that fall to it.
var ErrNotReady = errors.New("host holds no lease, has no configuration or has not taken its quota shards")

// Daemon is one entry daemon.
type Daemon struct {
	settings  wharfsettings.Settings
	store     *wharfstore.Client
	pool      *wharfrpc.Pool
	peers     *wharfpeer.Client
	loop      *wharfcontrol.Loop
	member    *wharfmember.Member
	owner     *wharfquota.Owner
	drawer    *wharfquota.Client
	rollout   *wharfrollout.Rollout
	picker    *wharfpick.Picker
	runner    *wharfbatch.Runner
	reporter  *wharfreport.Reporter
	orders    *wharforder.Reconciler
	client    *wharfendpointclient.Client
	ledger    *wharfpoison.Tracker
	metrics   *wharfmetrics.Metrics
	entry     *wharfgateway.Server
	operators *wharfoperator.Server
	callers   *http.Server
	drain     chan struct{}
	drainOnce sync.Once
	leaving   chan struct{}
	leavers   atomic.Pointer[[]string] // endpoints that the platform's list says are leaving
	background
	endpointsMu sync.Mutex
	endpoints   endpointView
}

// Tokens are the deployment's secrets.
type Tokens struct {
	Peer     string
	Operator string
}

// New returns a daemon that serves when Run runs. Wrap, if not nil, stands between the daemon and its peers.
func New(settings wharfsettings.Settings, tokens Tokens, wrap func(wharfpeer.Caller) wharfpeer.Caller) (*Daemon, error) {
	signers, err := settings.SignerKeys()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{
		settings: settings,
		store:    wharfstore.New(settings.Platform, settings.Zone),
		pool:     wharfrpc.NewPool(tokens.Peer, settings.Peers.Addr()),
		loop:     wharfcontrol.New(),
		client:   wharfendpointclient.New(),
		ledger:   wharfpoison.New(),
		metrics:  wharfmetrics.New(),
		drain:    make(chan struct{}),
		leaving:  make(chan struct{}),
	}
	var caller wharfpeer.Caller = d.pool
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
		OnChange:           d.configChanged,
	})
	d.buildServers(tokens)
	return d, nil
}

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
	d.owner = wharfquota.NewOwner(s.Zone, d.store, d.member, d.loop, d.rollout.Snapshot)
	d.drawer = wharfquota.NewClient(s.Zone, s.Peers, d.store, d.owner, d.peers, d.member.Live)
	d.picker = wharfpick.New(s.Zone, func(e *wharfpick.Endpoint) { d.reporter.MarkChanged(e) })
	d.runner = wharfbatch.New(wharfbatch.Options{
		Zone:         s.Zone,
		Storage:      d.store,
		Member:       d.member,
		Config:       d.rollout.Snapshot,
		Executor:     wharfbatchexecutor.New(d.client, d.ledger, d.strike, d.metrics),
		Peers:        d.peers,
		Headroom:     d.headroom(),
		IgnoreOnline: s.Policies.Batch != wharfsettings.BatchGivesWay,
	})
	d.reporter = wharfreport.New(d.member, d.runner, d.peers, func() *wharfpick.Picker { return d.picker })
	d.orders = wharforder.New(s.Zone, d.member, d.rollout.Snapshot, d.client)
	if s.Policies.Rate == wharfsettings.RateShared {
		d.owner.DrawFromZone = d.drawer.Draw
	}
	if s.Policies.Endpoint == wharfsettings.EndpointRandom {
		d.picker.UseRandom()
	}
}

func (d *Daemon) headroom() float64 {
	if d.settings.Policies.Batch == wharfsettings.BatchUncontrolled {
		return 0
	}
	return d.settings.Batch.Headroom
}

func (d *Daemon) newGate() *wharfgate.Gate[*wharfpick.Endpoint] {
	gate := wharfgate.New[*wharfpick.Endpoint]()
	if d.settings.Policies.Queue == wharfsettings.QueueFirstCome {
		gate.UseFIFO()
	}
	return gate
}

func (d *Daemon) buildServers(tokens Tokens) {
	limits := &d.settings.Limits
	d.entry = wharfgateway.New(wharfgateway.Options{
		Snapshot:     d.rollout.Snapshot,
		LeaseHeld:    d.inForce,
		Quota:        d.drawer,
		Gate:         d.newGate(),
		Picker:       d.picker,
		Client:       d.client,
		Jobs:         wharfjobs.New(d.store),
		Reservations: wharfonce.New(d.store),
		Crashes:      d.ledger,
		ReportCrash:  d.strike,
		StopJob:      d.stopJob,
		Budget:       wharfbudget.New(limits.RetryShare),
		Metrics:      d.metrics,
		Limits: wharfgateway.Limits{
			MaxBody:          limits.MaxBodyBytes,
			MaxUpload:        limits.MaxUploadBytes,
			QueueTimeout:     time.Duration(limits.QueueTimeout),
			FirstByteTimeout: time.Duration(limits.FirstByte),
			IdleTimeout:      time.Duration(limits.Idle),
			BodyTimeout:      time.Duration(limits.BodyTime),
			MaxAttempts:      limits.Attempts,
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
	d.callers = &http.Server{Handler: d.entry, ReadHeaderTimeout: headerTime, MaxHeaderBytes: headerBytes, IdleTimeout: callerIdle}
}

// inForce reports whether keyed work may be served: the lease holds, and the configuration was read after joining.
func (d *Daemon) inForce() bool {
	return d.member.InForce() && d.rollout.CaughtUp()
}

// Ready returns nil if the balancer may send requests here.
func (d *Daemon) Ready() error {
	select {
	case <-d.leaving:
		return ErrLeaving
	default:
	}
	if !d.inForce() || d.rollout.Snapshot() == nil || !d.owner.Ready() {
		return ErrNotReady
	}
	return nil
}

// Drain asks for a planned stop; it does not wait for it.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() { close(d.drain) })
}

// Run serves until ctx ends, which cuts work off, or until Drain has brought a planned stop about.
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
		Owner:    d.owner,
		Rollout:  d.rollout,
		Reporter: d.reporter,
		Runner:   d.runner,
		Poison:   d.ledger,
		Leaving:  d.setLeaving,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	tree := d.tree(listeners, server)
	finished := tree.ServeBackground(ctx)
	defer d.closeAll()
	select {
	case err := <-finished:
		return trace.Wrap(err)
	case <-d.drain:
		d.leave(ctx)
		cancel()
		<-finished
		return nil
	}
}

func (d *Daemon) closeAll() {
	d.pool.Close()
	d.client.Close()
	d.store.Close()
}

type listeners struct {
	callers, peers, operators net.Listener
}

func (d *Daemon) listen() (*listeners, error) {
	var opened listeners
	for _, wanted := range []struct {
		address string
		to      *net.Listener
	}{
		{d.settings.Callers.String(), &opened.callers},
		{d.settings.Peers.String(), &opened.peers},
		{d.settings.Operators.String(), &opened.operators},
	} {
		listener, err := net.Listen("tcp", wanted.address)
		if err != nil {
			opened.close()
			return nil, trace.Wrap(err)
		}
		*wanted.to = listener
	}
	if err := d.encrypt(&opened); err != nil {
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

func (d *Daemon) vars() map[string]any {
	vars := map[string]any{
		"counters":       d.metrics.Counters(),
		"latencies":      d.metrics.Summaries(),
		"peer-bytes-in":  d.pool.BytesIn.Load(),
		"peer-bytes-out": d.pool.BytesOut.Load(),
		"peer-calls":     d.pool.Calls.Load(),
		"batch-running":  d.runner.Running(),
		"in-force":       d.inForce(),
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

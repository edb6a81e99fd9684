package wharfhost

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/rpc"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wagtailwharfd/wharfservice"
	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharflimiter"
	"wagtailwharf.example/wharf/protocol/wharfhostcalls"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/transport/wharfprober"
)

const (
	// drainGrace is how long a draining daemon keeps accepting connections and all requests. The load balancer checks
	// readiness once a second and removes a host after two failed checks.
	drainGrace = 2500 * time.Millisecond
	// exitMargin is the time reserved for process exit before the stop limit, at which the process is killed.
	exitMargin = 800 * time.Millisecond
	// jobHandoverTimeout bounds the release of this host's batch jobs.
	jobHandoverTimeout = 2 * time.Second
)

// listeners holds the open TCP listeners of a daemon.
type listeners struct {
	callers, readiness, peers, metrics net.Listener
}

// listen opens all configured TCP listeners.
func (h *Host) listen() (*listeners, error) {
	var l listeners
	var err error
	for _, binding := range []struct {
		address string
		to      *net.Listener
	}{
		{h.settings.Callers.String(), &l.callers},
		{h.settings.Readiness.String(), &l.readiness},
		{h.settings.Peers.String(), &l.peers},
		{h.settings.Metrics.String(), &l.metrics},
	} {
		if *binding.to, err = net.Listen("tcp", binding.address); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &l, nil
}

// Run serves until ctx is done, which aborts requests in flight, or until a graceful shutdown requested by Drain has
// completed.
func (h *Host) Run(ctx context.Context) error {
	l, err := h.listen()
	if err != nil {
		return err
	}
	server, err := wharfhostcalls.NewServer(wharfhostcalls.Handlers{
		Pull:     func(r wharfhostcalls.PullRequest) float64 { return h.limiter.Lend(wharflimiter.Loan(r)) },
		Snapshot: h.snapshot,
		Relay:    h.relay.Handle,
		Reserve: func(r wharfallocator.Reservation) wharfallocator.Grant {
			return h.allocator.Grant(ctx, r)
		},
		Admit: func(a wharflimiter.Admission) wharflimiter.Decision {
			return h.limiter.AdmitHere(ctx, a)
		},
		Strike: h.takeCrashReport,
	})
	if err != nil {
		return err
	}
	klog.InfoS("daemon started", "incarnation", h.incarnation, "callers", h.settings.Callers.String(),
		"peers", h.settings.Peers.String(), "store", h.settings.Store.String(), "first-start", h.settings.FirstStart)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := h.supervisor(l, server).ServeBackground(ctx)
	defer h.closeConnections()
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-h.drainRequested:
		h.shutDown(ctx, l.callers)
		cancel()
		<-done
		klog.InfoS("daemon stopped", "incarnation", h.incarnation)
		return nil
	}
}

// closeConnections closes all idle outgoing connections.
func (h *Host) closeConnections() {
	h.peerPool.Close()
	h.endpointPool.Close()
	h.storeClient.Close()
}

// supervisor returns the supervision tree of all services.
func (h *Host) supervisor(l *listeners, server *rpc.Server) *suture.Supervisor {
	readiness := wharfservice.NewSideServer(http.HandlerFunc(h.serveReadiness))
	metrics := wharfservice.NewSideServer(http.HandlerFunc(h.serveMetrics))
	control := []wharfservice.Service{
		{Name: "directory", Run: h.directory.Serve},
		{Name: "gossip", Run: h.gossip.Serve},
		{Name: "members", Run: h.membership.run},
		{Name: "relay", Run: h.relay.Serve},
		{Name: "releases", Run: h.releases.Serve},
		{Name: "origins", Run: h.origins.Serve},
		{Name: "limiter", Run: h.limiter.Serve},
		{Name: "blocklist", Run: h.blocklist.Serve},
		{Name: "crashes", Run: h.settleCrashes},
		{Name: "peers", Run: func(ctx context.Context) error { return h.peerPool.Serve(ctx, l.peers, server) }},
		{Name: "readiness", Run: func(ctx context.Context) error {
			return wharfservice.ServeHTTP(ctx, readiness, l.readiness)
		}},
		{Name: "metrics", Run: func(ctx context.Context) error {
			return wharfservice.ServeHTTP(ctx, metrics, l.metrics)
		}},
	}
	traffic := []wharfservice.Service{
		{Name: "prober", Run: wharfprober.New(h.fleet, h.endpointPool.Probe).Serve},
		{Name: "book", Run: h.jobs.Serve},
		{Name: "runner", Run: h.runner.Serve},
		{Name: "callers", Run: func(ctx context.Context) error {
			return wharfservice.ServeHTTP(ctx, h.callers, l.callers)
		}},
	}
	return wharfservice.NewSupervisor(control, traffic)
}

// serveReadiness responds to the load balancer's readiness check: 200 if the host accepts requests, 503 otherwise.
func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() || h.table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics responds with counters, latencies and the daemon's view of its state as JSON.
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	vars := map[string]any{
		"counters":             h.metrics.Counters(),
		"latencies":            h.metrics.Summaries(),
		"store-calls":          h.storeClient.Calls.Load(),
		"store-stale-answers":  h.store.StaleReplies.Load(),
		"endpoint-connections": h.endpointPool.Dialed.Load(),
		"peer-calls":           h.peerPool.Calls.Load(),
		"online-running":       h.frontend.InFlight(),
		"online-waiting":       h.gate.Waiting(),
		"batch-running":        h.runner.Running(),
		"caller-connections":   h.connections.Counts(),
		"caller-memory":        h.memory.Held(),
		"caller-memory-limit":  h.memory.Size(),
		"slow-bodies-ended":    h.memory.Ended(),
		"job-memory":           h.jobMemory.Held(),
		"job-memory-limit":     h.jobMemory.Size(),
		"holders":              h.membership.hostCount(),
		"configuration-age-ms": h.directory.Age().Milliseconds(),
		"allocators":           h.allocatorNames(),
		"rate-shares":          h.rateShares().Used,
		"evacuated-zones":      h.directory.View().Evacuations.Zones(),
	}
	if h.paces != nil {
		vars["paces"] = h.paces.Stats()
	}
	vars["cold-endpoints"], vars["kept-from-cold-endpoints"] = h.fleet.ColdCounts()
	if table := h.table(); table != nil {
		vars["configuration-version"] = table.Version
	}
	data, err := json.Marshal(vars)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the client may have disconnected
}

// shutDown performs a graceful shutdown: it fails readiness checks, hands over the batch jobs, refuses requests that could
// outlast the stop limit, waits for the requests in flight and removes this host's row.
func (h *Host) shutDown(ctx context.Context, callers net.Listener) {
	start := time.Now()
	klog.InfoS("daemon draining", "incarnation", h.incarnation,
		"running", h.frontend.InFlight(), "batch-running", h.runner.Running())
	h.draining.Store(true)
	h.frontend.StartDraining()
	h.gossip.Broadcast()
	handoverCtx, cancel := context.WithTimeout(ctx, jobHandoverTimeout)
	h.runner.Close(handoverCtx)
	cancel()
	available := max(0, time.Duration(h.settings.Stop.Limit)-exitMargin)
	wharfpause.For(ctx, min(drainGrace, available/2)-time.Since(start))
	deadline := start.Add(available)
	h.frontend.RefuseOutlasting(deadline)
	shutdownCtx, cancelShutdown := context.WithDeadline(ctx, deadline.Add(exitMargin/2))
	defer cancelShutdown()
	h.logConnections("daemon stops accepting connections", start, "")
	reason := "all requests answered"
	if err := wharfservice.Drain(shutdownCtx, h.callers, callers, h.connections); err != nil {
		reason = "requests aborted at the shutdown deadline: " + err.Error()
	}
	h.logConnections("daemon drained", start, reason)
	h.membership.deleteRow(shutdownCtx)
}

// logConnections logs an event of a planned stop with the requests and callers' connections that are left.
func (h *Host) logConnections(event string, start time.Time, reason string) {
	c := h.connections.Counts()
	klog.InfoS(event, "incarnation", h.incarnation, "reason", reason, "after", time.Since(start).String(),
		"running", h.frontend.InFlight(), "waiting", h.gate.Waiting(), "connections-accepted", c.Accepted,
		"connections-new", c.New, "connections-active", c.Active, "connections-idle", c.Idle)
}

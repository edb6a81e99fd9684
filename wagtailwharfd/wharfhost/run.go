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
	"wagtailwharf.example/wharf/protocol/wharfhostcalls"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	// noticeTime is how long a leaving daemon goes on taking connections: the balancer asks for readiness once a
	// second and leaves a host out after two refusals.
	noticeTime = 3 * time.Second
	// stopMargin is the part of the time until the kill that is left for the end of the process.
	stopMargin = 800 * time.Millisecond
	// handOverTime bounds giving up the jobs.
	handOverTime = 2 * time.Second
)

type listeners struct {
	callers, readiness, peers, metrics net.Listener
}

func (h *Host) listen() (*listeners, error) {
	var l listeners
	var err error
	for _, wanted := range []struct {
		address string
		to      *net.Listener
	}{
		{h.settings.Callers.String(), &l.callers},
		{h.settings.Readiness.String(), &l.readiness},
		{h.settings.Peers.String(), &l.peers},
		{h.settings.Metrics.String(), &l.metrics},
	} {
		if *wanted.to, err = net.Listen("tcp", wanted.address); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &l, nil
}

// Run serves until ctx ends, which cuts work off, or until Drain has brought a planned stop about.
func (h *Host) Run(ctx context.Context) error {
	l, err := h.listen()
	if err != nil {
		return err
	}
	server, err := wharfhostcalls.NewServer(wharfhostcalls.Handlers{
		Pull:     func(r wharfhostcalls.PullRequest) float64 { return h.limiter.Give(r.Organisation, r.Wanted) },
		Snapshot: h.directory.Snapshot,
		Relay:    h.relay.Handle,
		Strike: func(s wharfhostcalls.Strike) {
			h.ledger.Merge(s.Fingerprint, s.Crashes, s.Alone, time.Now())
		},
	})
	if err != nil {
		return err
	}
	klog.InfoS("daemon started", "incarnation", h.incarnation, "callers", h.settings.Callers.String(),
		"peers", h.settings.Peers.String(), "store", h.settings.Store.String(), "first-start", h.settings.FirstStart)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	finished := h.tree(l, server).ServeBackground(ctx)
	defer h.close()
	select {
	case err := <-finished:
		return trace.Wrap(err)
	case <-h.drain:
		h.leave(ctx)
		cancel()
		<-finished
		klog.InfoS("daemon stopped", "incarnation", h.incarnation)
		return nil
	}
}

func (h *Host) close() {
	h.pool.Close()
	h.channels.Close()
	h.remote.Close()
}

func (h *Host) tree(l *listeners, server *rpc.Server) *suture.Supervisor {
	readiness := &http.Server{Handler: http.HandlerFunc(h.ready), ReadHeaderTimeout: headerTime}
	metrics := &http.Server{Handler: http.HandlerFunc(h.vars), ReadHeaderTimeout: headerTime}
	control := []wharfservice.Service{
		{Name: "directory", Run: h.directory.Serve},
		{Name: "gossip", Run: h.gossip.Serve},
		{Name: "members", Run: h.members.serve},
		{Name: "relay", Run: h.relay.Serve},
		{Name: "limiter", Run: h.limiter.Serve},
		{Name: "peers", Run: func(ctx context.Context) error { return h.pool.Serve(ctx, l.peers, server) }},
		{Name: "readiness", Run: func(ctx context.Context) error { return wharfservice.ServeHTTP(ctx, readiness, l.readiness) }},
		{Name: "metrics", Run: func(ctx context.Context) error { return wharfservice.ServeHTTP(ctx, metrics, l.metrics) }},
	}
	traffic := []wharfservice.Service{
		{Name: "book", Run: h.book.Serve},
		{Name: "runner", Run: h.runner.Serve},
		{Name: "callers", Run: func(ctx context.Context) error { return wharfservice.ServeHTTP(ctx, h.callers, l.callers) }},
	}
	return wharfservice.NewSupervisor(control, traffic)
}

// ready answers the balancer.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() || h.table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// vars answers with counters, latencies and what the daemon believes.
func (h *Host) vars(w http.ResponseWriter, _ *http.Request) {
	vars := map[string]any{
		"counters":             h.metrics.Counters(),
		"latencies":            h.metrics.Summaries(),
		"store-calls":          h.remote.Calls.Load(),
		"store-stale-answers":  h.store.StaleReplies.Load(),
		"endpoint-connections": h.channels.Dialed.Load(),
		"peer-calls":           h.pool.Calls.Load(),
		"online-running":       h.front.InFlight(),
		"online-waiting":       h.gate.Waiting(),
		"batch-running":        h.runner.Running(),
		"holders":              h.members.holders(),
		"configuration-age-ms": h.directory.Age().Milliseconds(),
	}
	if table := h.table(); table != nil {
		vars["configuration-version"] = table.Version
	}
	data, err := json.Marshal(vars)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // a reader that has left needs no answer
}

// leave brings a planned stop about: no new connections, then the end of what runs, then the process's own.
func (h *Host) leave(ctx context.Context) {
	begun := time.Now()
	klog.InfoS("daemon leaving", "incarnation", h.incarnation, "running", h.front.InFlight(), "batch-running", h.runner.Running())
	h.leaving.Store(true)
	h.front.StartDraining()
	h.gossip.Broadcast()
	handOver, cancel := context.WithTimeout(ctx, handOverTime)
	h.runner.Close(handOver)
	cancel()
	wharfpause.For(ctx, noticeTime-time.Since(begun))
	limit := begun.Add(time.Duration(h.settings.Stop.Limit) - stopMargin)
	last, cancelLast := context.WithDeadline(ctx, limit.Add(stopMargin/2))
	defer cancelLast()
	if err := h.callers.Shutdown(last); err != nil {
		klog.InfoS("requests cut off by the planned stop", "running", h.front.InFlight(), "error", err.Error())
	}
	h.members.leave(last)
}

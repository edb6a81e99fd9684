package wharfdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/rpc"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
)

// tree supervises control and traffic apart; a panic ends the process, since its state can't be trusted afterwards.
func (d *Daemon) tree(l *listeners, server *rpc.Server) *suture.Supervisor {
	spec := suture.Spec{PassThroughPanics: true, EventHook: logEvent}
	root := suture.New("wagtailwharfd", spec)
	control := suture.New("control", spec)
	for _, s := range []service{
		{"loop", d.loop.Serve},
		{"member", d.member.Serve},
		{"owner", d.owner.Serve},
		{"rollout", d.rollout.Serve},
		{"orders", d.orders.Serve},
		{"endpoints", d.followEndpoints},
		{"peers", func(ctx context.Context) error { return d.pool.Serve(ctx, l.peers, server) }},
		{"operators", func(ctx context.Context) error { return d.serveOperators(ctx, l.operators) }},
	} {
		control.Add(s)
	}
	traffic := suture.New("traffic", spec)
	for _, s := range []service{
		{"drawer", d.drawer.Serve},
		{"reporter", d.reporter.Serve},
		{"runner", d.runner.Serve},
		{"callers", func(ctx context.Context) error { return d.serveCallers(ctx, l.callers) }},
	} {
		traffic.Add(s)
	}
	root.Add(control)
	root.Add(traffic)
	return root
}

func logEvent(event suture.Event) {
	klog.InfoS("supervisor", "event", event.String())
}

func (d *Daemon) serveCallers(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = d.callers.Close() })
	defer stop()
	return serveEnded(d.callers.Serve(listener))
}

func (d *Daemon) serveOperators(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: d.operators, ReadHeaderTimeout: headerTime, WriteTimeout: operatorWrite}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return serveEnded(server.Serve(listener))
}

func serveEnded(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return trace.Wrap(err)
}

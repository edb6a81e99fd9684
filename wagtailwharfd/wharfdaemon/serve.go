package wharfdaemon

import (
	"context"
	"net/http"
	"net/rpc"
	"time"

	"github.com/thejerf/suture/v4"

	"wagtailwharf.example/wagtailwharfd/wharfservice"
	"wagtailwharf.example/wharf/transport/wharfidle"
)

const (
	// operatorConnections is the largest number of connections of the operators' port, which load balancers and collectors of
	// metrics ask too.
	operatorConnections = 16
	operatorIdleTimeout = 30 * time.Second
)

// supervisor returns the supervision tree of all services.
func (d *Daemon) supervisor(l *listeners, server *rpc.Server) *suture.Supervisor {
	connections := wharfidle.New(func() time.Duration { return operatorIdleTimeout })
	connections.Bound(operatorConnections, func() bool { return false })
	operators := &http.Server{
		Handler: d.operators, ReadHeaderTimeout: headerTimeout, ReadTimeout: operatorWriteTimeout,
		WriteTimeout: operatorWriteTimeout, IdleTimeout: operatorIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: connections.Track,
	}
	control := []wharfservice.Service{
		{Name: "loop", Run: d.loop.Serve},
		{Name: "member", Run: d.member.Serve},
		{Name: "owner", Run: d.quotaOwner.Serve},
		{Name: "rollout", Run: d.rollout.Serve},
		{Name: "orders", Run: d.orderReconciler.Serve},
		{Name: "endpoints", Run: d.syncEndpoints},
		{Name: "peers", Run: func(ctx context.Context) error { return d.peerPool.Serve(ctx, l.peers, server) }},
		{Name: "operators", Run: func(ctx context.Context) error {
			return wharfservice.ServeHTTP(ctx, operators, l.operators)
		}},
	}
	traffic := []wharfservice.Service{
		{Name: "drawer", Run: d.quotaClient.Serve},
		{Name: "reporter", Run: d.reporter.Serve},
		{Name: "runner", Run: d.runner.Serve},
		{Name: "callers", Run: func(ctx context.Context) error {
			return wharfservice.ServeHTTP(ctx, d.callers, l.callers)
		}},
	}
	return wharfservice.NewSupervisor(control, traffic)
}

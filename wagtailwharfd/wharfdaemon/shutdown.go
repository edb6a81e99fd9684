package wharfdaemon

import (
	"context"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wagtailwharfd/wharfservice"
	"wagtailwharf.example/wharf/state/wharfpause"
)

// shutDown performs a graceful shutdown: it refuses new requests, waits for the requests in flight and batch items up
// to the drain limit, then releases the quota shards and the lease.
func (d *Daemon) shutDown(ctx context.Context, callers net.Listener) {
	klog.InfoS("draining host", "host", d.settings.Host)
	close(d.draining)
	d.gateway.StartDraining()
	var batchDrain sync.WaitGroup
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Drain.Limit))
	defer cancel()
	batchDrain.Go(func() { d.runner.Drain(drainCtx) })
	wharfpause.For(ctx, time.Duration(d.settings.Drain.Grace))
	d.gateway.StopAdmitting()
	if err := wharfservice.Drain(drainCtx, d.callers, callers, d.connections); err != nil {
		klog.ErrorS(err, "requests aborted at the drain limit")
	}
	batchDrain.Wait()
	handoverCtx, cancelHandover := context.WithTimeout(ctx, handoverTimeout)
	defer cancelHandover()
	d.quotaOwner.ReleaseAll(handoverCtx)
	if err := d.member.Leave(handoverCtx); err != nil {
		klog.ErrorS(err, "lease not released; the zone will reclaim it")
	}
	klog.InfoS("host drained", "host", d.settings.Host)
}

package wharfdaemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"wagtailwharf.example/wharf/state/wharfpause"
)

// shutDown brings a planned stop about: no new work, then the end of what runs, then the hand-over.
func (d *Daemon) shutDown(ctx context.Context) {
	klog.InfoS("leaving", "host", d.settings.Host)
	close(d.draining)
	d.entry.Closing()
	var batch sync.WaitGroup
	limit, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Drain.Limit))
	defer cancel()
	batch.Go(func() { d.runner.Drain(limit) })
	wharfpause.For(ctx, time.Duration(d.settings.Drain.Grace))
	if err := d.callers.Shutdown(limit); err != nil {
		klog.ErrorS(err, "requests were cut off at the drain limit")
	}
	batch.Wait()
	last, cancelLast := context.WithTimeout(ctx, handoverTimeout)
	defer cancelLast()
	d.owner.ReleaseAll(last)
	if err := d.member.Leave(last); err != nil {
		klog.ErrorS(err, "place not given up; the zone will reclaim it")
	}
	klog.InfoS("left", "host", d.settings.Host)
}

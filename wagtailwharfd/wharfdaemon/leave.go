package wharfdaemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"wagtailwharf.example/wharf/state/wharfpause"
)

// leave brings a planned stop about: no new work, then the end of what runs, then the hand-over.
func (d *Daemon) leave(ctx context.Context) {
	klog.InfoS("leaving", "host", d.settings.Host)
	close(d.leaving)
	d.entry.StartDraining()
	var batch sync.WaitGroup
	limit, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Drain.Limit))
	defer cancel()
	batch.Go(func() { d.runner.Drain(limit) })
	wharfpause.For(ctx, time.Duration(d.settings.Drain.Grace))
	if err := d.callers.Shutdown(limit); err != nil {
		klog.ErrorS(err, "requests were cut off at the drain limit")
	}
	batch.Wait()
	last, cancelLast := context.WithTimeout(ctx, leaveLimit)
	defer cancelLast()
	d.owner.ReleaseAll(last)
	if err := d.member.Leave(last); err != nil {
		klog.ErrorS(err, "place not given up; the zone will reclaim it")
	}
	klog.InfoS("left", "host", d.settings.Host)
}

package wharfdaemon

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/protocol/wharfpeer"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
	"wagtailwharf.example/wharf/state/wharfzone"
)

const (
	broadcastTimeout       = 2 * time.Second
	endpointsInterval      = 500 * time.Millisecond
	readerInterval         = time.Second      // between reads of the host list by a designated reader
	nonReaderInterval      = 30 * time.Second // between reads by any other host
	hostListReadersPerZone = 2
	leavingState           = "leaving"
)

// reportCrash records that a request crashed an endpoint and reports it to all other daemons.
func (d *Daemon) reportCrash(fingerprint uint64, alone bool) {
	crashes := d.poison.RecordCrash(fingerprint, alone, time.Now())
	strike := wharfpeer.CrashReport{Fingerprint: fingerprint, Crashes: crashes, Alone: alone}
	d.broadcast(func(ctx context.Context, to netip.AddrPort) {
		_ = d.peers.Strike(ctx, to, strike)
	})
}

// stopJob stops the items of a cancelled job on this and all other daemons.
func (d *Daemon) stopJob(id string) {
	d.runner.StopJob(id)
	d.broadcast(func(ctx context.Context, to netip.AddrPort) {
		_ = d.peers.StopJob(ctx, to, id)
	})
}

// broadcast runs call concurrently for every other known daemon, in the background.
func (d *Daemon) broadcast(call func(context.Context, netip.AddrPort)) {
	d.run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
		defer cancel()
		var calls sync.WaitGroup
		for _, member := range d.otherMembers(ctx) {
			calls.Go(func() { call(ctx, member.Peer) })
		}
		calls.Wait()
	})
}

// otherMembers returns the other daemons of all zones, or only those of this host's zone if the platform does not
// answer.
func (d *Daemon) otherMembers(ctx context.Context) []wharfzone.Member {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout/2)
	defer cancel()
	zones, err := wharfmember.ListZones(ctx, d.store)
	if view := d.member.View(); err != nil && view != nil {
		zones = []wharfzone.Zone{view.Zone}
	}
	var others []wharfzone.Member
	for _, zone := range zones {
		for _, m := range zone.Members {
			if m.Host != d.settings.Host {
				others = append(others, m)
			}
		}
	}
	return others
}

// onConfigChange applies a new configuration. It runs on the control loop's goroutine.
func (d *Daemon) onConfigChange(snapshot *wharfsnapshot.Snapshot) {
	d.entry.CancelRevoked(snapshot)
	d.updateEndpoints(snapshot)
}

// syncEndpoints keeps the picker up to date with the zone membership and the platform's list of leaving hosts, until
// ctx is done. Only hostListReadersPerZone hosts of each zone read the list often; they push changes to the others.
func (d *Daemon) syncEndpoints(ctx context.Context) error {
	ticker := time.NewTicker(endpointsInterval)
	defer ticker.Stop()
	lastRead := time.Time{}
	for {
		if period := d.hostListInterval(); time.Since(lastRead) > period {
			lastRead = time.Now()
			d.refreshLeaving(ctx)
		}
		if snapshot := d.rollout.Snapshot(); snapshot != nil {
			d.updateEndpoints(snapshot)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hostListInterval returns the interval at which this host reads the platform's host list.
func (d *Daemon) hostListInterval() time.Duration {
	view := d.member.View()
	if view == nil || slices.Contains(hostListReaders(view), view.Self.Host) {
		return readerInterval
	}
	return nonReaderInterval
}

// hostListReaders returns the hosts of the zone that read the platform's host list often.
func hostListReaders(view *wharfmember.View) []string {
	order := wharfrank.Order("host-list-reader", view.LiveHosts())
	return order[:min(hostListReadersPerZone, len(order))]
}

// refreshLeaving reads the platform's host list and, if the set of leaving hosts has changed, pushes it to the other
// daemons of the zone.
func (d *Daemon) refreshLeaving(ctx context.Context) {
	hosts, err := d.store.Hosts(ctx)
	if err != nil {
		klog.V(1).InfoS("cannot read the platform's host list", "error", err.Error())
		return
	}
	leaving := []string{}
	for _, h := range hosts {
		if h.State == leavingState {
			leaving = append(leaving, h.Name)
		}
	}
	if previous := d.leavingEndpoints.Load(); previous != nil && slices.Equal(*previous, leaving) {
		return
	}
	d.setLeaving(leaving)
	view := d.member.View()
	if view == nil {
		return
	}
	for _, member := range view.Live {
		if member.Host == view.Self.Host {
			continue
		}
		d.run(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
			defer cancel()
			_ = d.peers.Leaving(ctx, member.Peer, leaving)
		})
	}
}

// setLeaving replaces the names of the leaving endpoints.
func (d *Daemon) setLeaving(names []string) {
	d.leavingEndpoints.Store(&names)
}

// endpointInputs holds the inputs from which the picker's endpoints are derived.
type endpointInputs struct {
	snapshot *wharfsnapshot.Snapshot
	leaving  *[]string
	daemons  int
}

// updateEndpoints updates the picker if any input has changed. It ignores snapshots older than the last one applied.
func (d *Daemon) updateEndpoints(snapshot *wharfsnapshot.Snapshot) {
	inputs := endpointInputs{snapshot: snapshot, leaving: d.leavingEndpoints.Load(), daemons: 1}
	if view := d.member.View(); view != nil {
		inputs.daemons = len(view.Live)
	}
	d.endpointsMu.Lock()
	defer d.endpointsMu.Unlock()
	if inputs == d.endpointInputs ||
		(d.endpointInputs.snapshot != nil && d.endpointInputs.snapshot.Version > snapshot.Version) {
		return
	}
	d.endpointInputs = inputs
	leaving := map[string]bool{}
	if inputs.leaving != nil {
		for _, name := range *inputs.leaving {
			leaving[name] = true
		}
	}
	d.picker.Update(snapshot.Bundle.Endpoints, leaving, inputs.daemons)
}

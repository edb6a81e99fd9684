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
	readerInterval         = time.Second // between two readings of the platform's list by a reader
	nonReaderInterval      = 30 * time.Second
	hostListReadersPerZone = 2
	leavingState           = "leaving"
)

// reportCrash counts an endpoint that broke under a request, and tells all other daemons.
func (d *Daemon) reportCrash(fingerprint uint64, alone bool) {
	crashes := d.poison.Strike(fingerprint, alone, time.Now())
	strike := wharfpeer.Strike{Fingerprint: fingerprint, Crashes: crashes, Alone: alone}
	d.broadcast(func(ctx context.Context, to netip.AddrPort) {
		_ = d.peers.Strike(ctx, to, strike)
	})
}

// stopJob ends the work on a cancelled job here and on all other daemons.
func (d *Daemon) stopJob(id string) {
	d.runner.StopJob(id)
	d.broadcast(func(ctx context.Context, to netip.AddrPort) {
		_ = d.peers.StopJob(ctx, to, id)
	})
}

// broadcast calls all other daemons that are known.
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

// otherMembers returns the daemons of all zones, or those of the own zone while the platform does not answer.
func (d *Daemon) otherMembers(ctx context.Context) []wharfzone.Member {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout/2)
	defer cancel()
	zones, err := wharfmember.Zones(ctx, d.store)
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

// onConfigChange runs on the control goroutine.
func (d *Daemon) onConfigChange(snapshot *wharfsnapshot.Snapshot) {
	d.entry.Withdraw(snapshot)
	d.updateEndpoints(snapshot)
}

// syncEndpoints keeps the picker in step with the membership and with the platform's list of leaving hosts. Two
// readers of each zone read the list and tell the others.
func (d *Daemon) syncEndpoints(ctx context.Context) error {
	ticker := time.NewTicker(endpointsInterval)
	defer ticker.Stop()
	read := time.Time{}
	for {
		if period := d.hostListInterval(); time.Since(read) > period {
			read = time.Now()
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

func (d *Daemon) hostListInterval() time.Duration {
	view := d.member.View()
	if view == nil || slices.Contains(hostListReaders(view), view.Self.Host) {
		return readerInterval
	}
	return nonReaderInterval
}

func hostListReaders(view *wharfmember.View) []string {
	order := wharfrank.Order("host-list-reader", view.LiveHosts())
	return order[:min(hostListReadersPerZone, len(order))]
}

// refreshLeaving reads the list and tells the zone's other daemons if it has changed.
func (d *Daemon) refreshLeaving(ctx context.Context) {
	hosts, err := d.store.Hosts(ctx)
	if err != nil {
		klog.V(1).InfoS("list of hosts not read", "error", err.Error())
		return
	}
	leaving := []string{}
	for _, h := range hosts {
		if h.State == leavingState {
			leaving = append(leaving, h.Name)
		}
	}
	if known := d.leavingEndpoints.Load(); known != nil && slices.Equal(*known, leaving) {
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

func (d *Daemon) setLeaving(names []string) {
	d.leavingEndpoints.Store(&names)
}

// endpointInputs is what the picker's endpoints follow from.
type endpointInputs struct {
	snapshot *wharfsnapshot.Snapshot
	leaving  *[]string
	daemons  int
}

// updateEndpoints tells the picker of its endpoints if anything that they follow from has changed.
func (d *Daemon) updateEndpoints(snapshot *wharfsnapshot.Snapshot) {
	present := endpointInputs{snapshot: snapshot, leaving: d.leavingEndpoints.Load(), daemons: 1}
	if view := d.member.View(); view != nil {
		present.daemons = len(view.Live)
	}
	d.endpointsMu.Lock()
	defer d.endpointsMu.Unlock()
	if present == d.endpointInputs || (d.endpointInputs.snapshot != nil && d.endpointInputs.snapshot.Version > snapshot.Version) {
		return
	}
	d.endpointInputs = present
	leaving := map[string]bool{}
	if present.leaving != nil {
		for _, name := range *present.leaving {
			leaving[name] = true
		}
	}
	d.picker.Update(snapshot.Bundle.Endpoints, leaving, present.daemons)
}

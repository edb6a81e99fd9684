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
	spreadLimit     = 2 * time.Second
	endpointsPeriod = 500 * time.Millisecond
	readerPeriod    = time.Second // between two readings of the platform's list by a reader
	othersPeriod    = 30 * time.Second
	readersAZone    = 2
	leavingState    = "leaving"
)

// strike counts an endpoint that broke under a request, and tells all other daemons.
func (d *Daemon) strike(fingerprint uint64, alone bool) {
	crashes := d.ledger.Strike(fingerprint, alone, time.Now())
	strike := wharfpeer.Strike{Fingerprint: fingerprint, Crashes: crashes, Alone: alone}
	d.spread(func(ctx context.Context, to netip.AddrPort) {
		_ = d.peers.Strike(ctx, to, strike)
	})
}

// stopJob ends the work on a cancelled job here and on all other daemons.
func (d *Daemon) stopJob(id string) {
	d.runner.StopJob(id)
	d.spread(func(ctx context.Context, to netip.AddrPort) {
		_ = d.peers.StopJob(ctx, to, id)
	})
}

// spread calls all other daemons that are known.
func (d *Daemon) spread(call func(context.Context, netip.AddrPort)) {
	d.run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, spreadLimit)
		defer cancel()
		var calls sync.WaitGroup
		for _, member := range d.others(ctx) {
			calls.Go(func() { call(ctx, member.Peer) })
		}
		calls.Wait()
	})
}

// others returns the daemons of all zones, or those of the own zone while the platform does not answer.
func (d *Daemon) others(ctx context.Context) []wharfzone.Member {
	ctx, cancel := context.WithTimeout(ctx, spreadLimit/2)
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

// configChanged runs on the control goroutine.
func (d *Daemon) configChanged(snapshot *wharfsnapshot.Snapshot) {
	d.entry.CancelRevoked(snapshot)
	d.updateEndpoints(snapshot)
}

// followEndpoints keeps the picker in step with the membership and with the platform's list of leaving hosts. Two
// readers of each zone read the list and tell the others.
func (d *Daemon) followEndpoints(ctx context.Context) error {
	ticker := time.NewTicker(endpointsPeriod)
	defer ticker.Stop()
	read := time.Time{}
	for {
		if period := d.hostListPeriod(); time.Since(read) > period {
			read = time.Now()
			d.readLeaving(ctx)
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

func (d *Daemon) hostListPeriod() time.Duration {
	view := d.member.View()
	if view == nil || slices.Contains(readers(view), view.Self.Host) {
		return readerPeriod
	}
	return othersPeriod
}

func readers(view *wharfmember.View) []string {
	order := wharfrank.Order("host-list-reader", view.LiveHosts())
	return order[:min(readersAZone, len(order))]
}

// readLeaving reads the list and tells the zone's other daemons if it has changed.
func (d *Daemon) readLeaving(ctx context.Context) {
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
	if known := d.leavers.Load(); known != nil && slices.Equal(*known, leaving) {
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
			ctx, cancel := context.WithTimeout(ctx, spreadLimit)
			defer cancel()
			_ = d.peers.Leaving(ctx, member.Peer, leaving)
		})
	}
}

func (d *Daemon) setLeaving(names []string) {
	d.leavers.Store(&names)
}

// endpointView is what the picker's endpoints follow from.
type endpointView struct {
	snapshot *wharfsnapshot.Snapshot
	leaving  *[]string
	daemons  int
}

// updateEndpoints tells the picker of its endpoints if anything that they follow from has changed.
func (d *Daemon) updateEndpoints(snapshot *wharfsnapshot.Snapshot) {
	present := endpointView{snapshot: snapshot, leaving: d.leavers.Load(), daemons: 1}
	if view := d.member.View(); view != nil {
		present.daemons = len(view.Live)
	}
	d.endpointsMu.Lock()
	defer d.endpointsMu.Unlock()
	if present == d.endpoints || (d.endpoints.snapshot != nil && d.endpoints.snapshot.Version > snapshot.Version) {
		return
	}
	d.endpoints = present
	leaving := map[string]bool{}
	if present.leaving != nil {
		for _, name := range *present.leaving {
			leaving[name] = true
		}
	}
	d.picker.Update(snapshot.Bundle.Endpoints, leaving, present.daemons)
}

package wharfdaemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/protocol/wharfpeer"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
	"wagtailwharf.example/wharf/state/wharfzone"
)

const (
	spreadLimit     = 2 * time.Second
	endpointsPeriod = 500 * time.Millisecond
	hostListPeriod  = 2 * time.Second
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

// configChanged runs on the control goroutine.
func (d *Daemon) configChanged(snapshot *wharfsnapshot.Snapshot) {
	d.entry.Withdraw(snapshot)
	d.updateEndpoints(snapshot)
}

// followEndpoints keeps the picker in step with the membership and with the platform's list of leaving hosts.
func (d *Daemon) followEndpoints(ctx context.Context) error {
	ticker := time.NewTicker(endpointsPeriod)
	defer ticker.Stop()
	read := time.Time{}
	for {
		if time.Since(read) > hostListPeriod {
			read = time.Now()
			if listed, err := d.listLeaving(ctx); err == nil {
				d.leavers.Store(&listed)
			}
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

func (d *Daemon) listLeaving(ctx context.Context) (map[string]bool, error) {
	hosts, err := d.store.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	leaving := map[string]bool{}
	for _, h := range hosts {
		if h.State == leavingState {
			leaving[h.Name] = true
		}
	}
	return leaving, nil
}

func (d *Daemon) updateEndpoints(snapshot *wharfsnapshot.Snapshot) {
	daemons := 1
	if view := d.member.View(); view != nil {
		daemons = len(view.Live)
	}
	var leaving map[string]bool
	if listed := d.leavers.Load(); listed != nil {
		leaving = *listed
	}
	d.picker.Update(snapshot.Bundle.Endpoints, leaving, daemons)
}

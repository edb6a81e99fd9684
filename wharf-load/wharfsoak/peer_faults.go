package wharfsoak

import (
	"context"
	"net/netip"

	"wagtailwharf.example/wharf-load/wharfproxy"
	"wagtailwharf.example/wharf/state/wharfpause"
)

// peerFaults maps kinds to the network faults between hosts.
var peerFaults = map[string]faultFunc{
	"peers-cut": func(ctx context.Context, s *system, e faultEvent) {
		s.partitionPeers(ctx, e, func(i, j int) bool { return i == e.host || j == e.host })
	},
	"peers-cut-one-way": func(ctx context.Context, s *system, e faultEvent) {
		s.partitionPeers(ctx, e, func(i, j int) bool {
			return (e.variant < 0.5 && i == e.host) || (e.variant >= 0.5 && j == e.host)
		})
	},
	"peers-cut-zones": func(ctx context.Context, s *system, e faultEvent) {
		s.partitionPeers(ctx, e, func(i, j int) bool { return zoneOf(i) != zoneOf(j) })
	},
	"peers-slow": func(ctx context.Context, s *system, e faultEvent) {
		s.withPeerFaults(ctx, e, func(int) wharfproxy.Faults { return wharfproxy.Faults{Delay: linkDelay} })
	},
}

// faultByKind returns the function that injects a kind of fault, or nil if the kind is unknown.
func faultByKind(kind string) faultFunc {
	for _, kinds := range []map[string]faultFunc{baseFaults, peerFaults, promptFaults, answerFaults, evacuationFaults} {
		if f := kinds[kind]; f != nil {
			return f
		}
	}
	return nil
}

// partitionPeers drops all traffic from host i to host j where cut(i, j), for the duration of the event.
func (s *system) partitionPeers(ctx context.Context, e faultEvent, cut func(from, to int) bool) {
	s.withPeerFaults(ctx, e, func(to int) wharfproxy.Faults {
		from := map[netip.Addr]bool{}
		for i, h := range s.hosts {
			if i != to && cut(i, to) {
				from[h.ip] = true
			}
		}
		return wharfproxy.Faults{BlockedClients: from}
	})
}

// withPeerFaults applies network faults to the peer traffic towards each host for the duration of the event. It records
// no fault spans, since every host still reaches the store and all guarantees must hold.
func (s *system) withPeerFaults(ctx context.Context, e faultEvent, faults func(to int) wharfproxy.Faults) {
	for i, h := range s.hosts {
		h.peerProxy.SetFaults(faults(i))
	}
	wharfpause.For(ctx, e.duration)
	for _, h := range s.hosts {
		h.peerProxy.SetFaults(wharfproxy.Faults{})
	}
}

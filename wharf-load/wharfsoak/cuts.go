package wharfsoak

import (
	"context"
	"net/netip"

	"wagtailwharf.example/wharf-load/wharfproxy"
	"wagtailwharf.example/wharf/state/wharfpause"
)

// hostCuts are the faults between hosts by name.
var hostCuts = map[string]fault{
	"peers-cut": func(ctx context.Context, s *site, e event) {
		s.cutPeers(ctx, e, func(i, j int) bool { return i == e.host || j == e.host })
	},
	"peers-cut-one-way": func(ctx context.Context, s *site, e event) {
		s.cutPeers(ctx, e, func(i, j int) bool { return (e.draw < 0.5 && i == e.host) || (e.draw >= 0.5 && j == e.host) })
	},
	"peers-cut-zones": func(ctx context.Context, s *site, e event) {
		s.cutPeers(ctx, e, func(i, j int) bool { return zoneOf(i) != zoneOf(j) })
	},
	"peers-slow": func(ctx context.Context, s *site, e event) {
		s.throughPeers(ctx, e, func(int) wharfproxy.Faults { return wharfproxy.Faults{Delay: slowPath} })
	},
}

func faultOf(kind string) fault {
	if f := kinds[kind]; f != nil {
		return f
	}
	return hostCuts[kind]
}

// cutPeers cuts the path from some hosts to others.
func (s *site) cutPeers(ctx context.Context, e event, cut func(from, to int) bool) {
	s.throughPeers(ctx, e, func(to int) wharfproxy.Faults {
		from := map[netip.Addr]bool{}
		for i, h := range s.hosts {
			if i != to && cut(i, to) {
				from[h.ip] = true
			}
		}
		return wharfproxy.Faults{BlockedClients: from}
	})
}

// throughPeers has each host reached through faults for a while. No promise is excused by it: every host has the store.
func (s *site) throughPeers(ctx context.Context, e event, faults func(to int) wharfproxy.Faults) {
	for i, h := range s.hosts {
		h.peers.SetFaults(faults(i))
	}
	wharfpause.For(ctx, e.lasts)
	for _, h := range s.hosts {
		h.peers.SetFaults(wharfproxy.Faults{})
	}
}

package wharfaudit

import (
	"slices"
	"strings"

	"wagtailwharf.example/wharf/state/wharfconfig"
)

// Bundle returns the errors and warnings for a valid bundle. The findings have no lines.
func Bundle(b *wharfconfig.Bundle) []Finding {
	a := &audit{}
	for _, o := range b.Organisations {
		held := slices.ContainsFunc(b.Keys, func(k wharfconfig.Key) bool { return k.Organisation == o.Name })
		a.addIf(!held, Warning, entry{KindOrganisation, o.Name, 0}, "has no key")
	}
	holders := map[string]string{}
	for _, k := range b.Keys {
		hash := strings.ToLower(k.Hash)
		holder, held := holders[hash]
		a.addIf(held, Error, entry{KindKey, k.ID, 0}, "key %q has the same hash", holder)
		holders[hash] = k.ID
	}
	for i := range b.Services {
		a.checkBundleService(b, &b.Services[i])
	}
	return a.sorted()
}

func (a *audit) checkBundleService(b *wharfconfig.Bundle, s *wharfconfig.Service) {
	e := entry{KindService, s.Name, 0}
	endpoints, leaving := 0, 0
	for _, endpoint := range b.Endpoints {
		if endpoint.Service == s.Name {
			endpoints++
			if endpoint.Leaving {
				leaving++
			}
		}
	}
	a.addIf(endpoints == 0, Warning, e, "has no endpoint")
	a.addIf(endpoints > 0 && leaving == endpoints, Warning, e, "all its endpoints are leaving")
	a.addIf(s.Kind == wharfconfig.KindModel && len(s.Routes) > 0, Warning, e, "its routes have no effect: not a plain service")
	a.addIf(s.Kind == wharfconfig.KindPlain && len(s.Routes) == 0, Warning, e, "no request reaches it: it has no route")
	seen := map[string]bool{}
	for _, r := range s.Routes {
		a.addIf(seen[r.Path], Warning, e, "no request reaches its second route %q", r.Path)
		seen[r.Path] = true
	}
}

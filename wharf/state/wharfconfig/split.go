package wharfconfig

import "wagtailwharf.example/wharf/state/wharfrank"

const minZoneBurst = 2

// ZoneShares returns each zone's share, from 0 to 1, of an organisation's rate and burst; an organisation whose
// burst is small has shares in few zones, so that each can hold a whole token.
func (b *Bundle) ZoneShares(organisation *Organisation) map[string]float64 {
	zones := b.zonesFor(organisation)
	total := 0.0
	for _, z := range zones {
		total += z.weight()
	}
	split := make(map[string]float64, len(zones))
	for _, z := range zones {
		split[z.Name] = z.weight() / total
	}
	return split
}

func (b *Bundle) zonesFor(organisation *Organisation) []Zone {
	count := max(1, int(organisation.Burst/minZoneBurst))
	if count >= len(b.Zones) {
		return b.Zones
	}
	byName := make(map[string]Zone, len(b.Zones))
	names := make([]string, 0, len(b.Zones))
	for _, z := range b.Zones {
		byName[z.Name] = z
		names = append(names, z.Name)
	}
	var zones []Zone
	for _, name := range wharfrank.Order(organisation.Name, names)[:count] {
		zones = append(zones, byName[name])
	}
	return zones
}

func (z *Zone) weight() float64 {
	if z.Share == 0 {
		return 1
	}
	return z.Share
}

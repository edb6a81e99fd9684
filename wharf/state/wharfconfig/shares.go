package wharfconfig

import "wagtailwharf.example/wharf/state/wharfrank"

// minZoneBurst is the smallest share of a burst, in tokens, that a zone gets.
const minZoneBurst = 2

// ZoneShares returns each zone's share, from 0 to 1, of an organisation's rate and burst. If the burst is small, only a
// few zones have a share, so that each of them can hold a whole token.
func (b *Bundle) ZoneShares(organisation *Organisation) map[string]float64 {
	zones := b.zonesOf(organisation)
	total := 0.0
	for _, z := range zones {
		total += z.weight()
	}
	shares := make(map[string]float64, len(zones))
	for _, z := range zones {
		shares[z.Name] = z.weight() / total
	}
	return shares
}

// zonesOf returns the zones that have a share of an organisation's rate and burst.
func (b *Bundle) zonesOf(organisation *Organisation) []Zone {
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

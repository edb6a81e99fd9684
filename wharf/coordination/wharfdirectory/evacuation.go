package wharfdirectory

import (
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfevacuation"
)

// evacuationState is the set of evacuated zones, with what is needed to log its changes.
type evacuationState struct {
	set       *wharfevacuation.Set // nil until it is known
	startedAt map[string]time.Time // by evacuated zone, when this host learned of it
	unmatched map[string]bool      // evacuated zones that have not been compared with the endpoints
}

// evacuationChanges returns the changes of evacuations among rows of the configuration's table.
func (d *Directory) evacuationChanges(rows []wharfrecords.Row) []wharfevacuation.Change {
	var changes []wharfevacuation.Change
	for _, row := range rows {
		if zone, found := d.options.Decoder.EvacuatedZone(row.Key); found {
			changes = append(changes, wharfevacuation.Change{Zone: zone, Version: row.Version, Ended: row.Deleted})
		}
	}
	return changes
}

// setEvacuations replaces the evacuated zones by a set of which the store, directly or through a peer, said age ago that it
// holds. It reports whether the view changes. The caller holds d.mu.
func (d *Directory) setEvacuations(set *wharfevacuation.Set, source string, age time.Duration) (changed bool) {
	state := &d.evacuations
	before := state.set
	state.set = set
	changed = before == nil
	for _, zone := range set.Zones() {
		if before.Includes(zone) {
			continue
		}
		changed = true
		state.startedAt[zone] = time.Now()
		state.unmatched[zone] = true
		klog.InfoS("evacuation started", "evacuated-zone", zone, "row-version", set.InForce[zone], "version", set.Version,
			"source", source, "age", age.String())
	}
	for _, zone := range before.Zones() {
		if set.Includes(zone) {
			continue
		}
		changed = true
		klog.InfoS("evacuation ended", "evacuated-zone", zone, "row-version", set.EndedAt(zone), "version", set.Version,
			"source", source, "age", age.String(), "lasted", time.Since(state.startedAt[zone]).String())
		delete(state.startedAt, zone)
		delete(state.unmatched, zone)
	}
	d.matchEvacuations()
	return changed || before.Version != set.Version && len(set.Ended) > len(before.Ended)
}

// matchEvacuations logs evacuated zones that no endpoint has, once the endpoints are known: their names may be mistyped. The
// caller holds d.mu.
func (d *Directory) matchEvacuations() {
	if d.endpointSync.version == 0 {
		return
	}
	endpoints := map[string]int{}
	for _, e := range d.endpoints {
		endpoints[e.endpoint.Zone]++
	}
	for zone := range d.evacuations.unmatched {
		event := "endpoints of evacuated zone"
		if endpoints[zone] == 0 {
			event = "evacuated zone has no endpoint"
		}
		klog.InfoS(event, "evacuated-zone", zone, "endpoints", endpoints[zone], "of", len(d.endpoints))
	}
	clear(d.evacuations.unmatched)
}

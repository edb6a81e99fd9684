package wharfmember

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfzone"
)

// ListZones returns the memberships of all zones.
func ListZones(ctx context.Context, storage wharfstorage.Storage) ([]wharfzone.Zone, error) {
	var zones []wharfzone.Zone
	err := wharfstorage.ScanAll(ctx, storage, wharfzone.Key(""), func(row wharfrow.Row) error {
		var zone wharfzone.Zone
		if err := json.Unmarshal(row.Value, &zone); err != nil {
			return trace.Wrap(err)
		}
		zones = append(zones, zone)
		return nil
	})
	return zones, trace.Wrap(err)
}

// Remove removes a host from its zone when an operator has confirmed that the host is off and too few voters are left
// to reclaim it. If the host still runs, it keeps serving until it learns of the removal.
func Remove(ctx context.Context, storage wharfstorage.Storage, zoneName, host string) error {
	key := wharfzone.Key(zoneName)
	zone, version, err := wharfstorage.Read[wharfzone.Zone](ctx, storage, key)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, ok := zone.Find(host); !ok {
		return nil
	}
	next := zone.WithoutHost(host)
	return trace.Wrap(wharfstorage.Commit(ctx, storage,
		[]wharfrow.Condition{wharfstorage.At(key, version)}, wharfstorage.Put(key, next)))
}

package wharfmember

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfzone"
)

// ListZones reads the memberships of all zones.
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

// Remove takes a host's place away on the word of an operator that the host is off, where too few voters are left
// to reclaim it; if the host still runs it serves on until it hears of it.
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
	return trace.Wrap(wharfstorage.Commit(ctx, storage, []wharfrow.Condition{wharfstorage.At(key, version)}, wharfstorage.Put(key, next)))
}

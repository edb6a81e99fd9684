package wharfregion

import (
	"context"
	"slices"
)

// Map maps availability zones to regions.
type Map map[string]string

// Allows reports whether a zone is in one of the regions. A zone of no known region is in none. Nil regions stand for all,
// also for unknown ones.
func (m Map) Allows(zone string, regions []string) bool {
	if regions == nil {
		return true
	}
	region := m[zone]
	return region != "" && slices.Contains(regions, region)
}

// Same reports whether two zones are the same, or in the same region.
func (m Map) Same(a, b string) bool {
	return a == b || m[a] != "" && m[a] == m[b]
}

// Common returns the regions that are in each of two lists, of which an empty one stands for all regions. It returns nil for
// all regions, and an empty list if there are none in common.
func Common(a, b []string) []string {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		return slices.Clone(b)
	case len(b) == 0:
		return slices.Clone(a)
	}
	common := []string{}
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common
}

// limitKey is the key of a context's regions.
type limitKey struct{}

// WithLimit returns a context for calls that hold the body of a request that may be held in some regions only, nil for all.
func WithLimit(ctx context.Context, regions []string) context.Context {
	if regions == nil {
		return ctx
	}
	return context.WithValue(ctx, limitKey{}, regions)
}

// LimitOf returns the regions that WithLimit has set, nil for all.
func LimitOf(ctx context.Context) []string {
	regions, _ := ctx.Value(limitKey{}).([]string)
	return regions
}

package wharfregion

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRegionsInCommon guards against a request that runs where only its route or only its organisation allows it.
func TestRegionsInCommon(t *testing.T) {
	assert.Assert(t, Common(nil, []string{}) == nil)
	assert.DeepEqual(t, Common([]string{"a"}, nil), []string{"a"})
	assert.DeepEqual(t, Common(nil, []string{"b"}), []string{"b"})
	assert.DeepEqual(t, Common([]string{"a", "b", "c"}, []string{"c", "b"}), []string{"b", "c"})
	none := Common([]string{"a"}, []string{"b"})
	assert.Assert(t, none != nil && len(none) == 0)
}

// TestUnknownZonesAreNotAllowed guards against a request that runs in a zone whose region is not known.
func TestUnknownZonesAreNotAllowed(t *testing.T) {
	m := Map{"a1": "a", "b1": "b", "odd": ""}
	assert.Assert(t, m.Allows("a1", []string{"a"}))
	for _, zone := range []string{"b1", "odd", "unknown"} {
		assert.Assert(t, !m.Allows(zone, []string{"a", ""}), zone)
		assert.Assert(t, !m.Allows(zone, []string{}), zone)
		assert.Assert(t, m.Allows(zone, nil), zone)
		assert.Assert(t, Map(nil).Allows(zone, nil), zone)
	}
	assert.Assert(t, !Map(nil).Allows("a1", []string{"a"}))
	assert.Assert(t, m.Same("odd", "odd") && Map{"a1": "a", "a2": "a"}.Same("a1", "a2"))
	assert.Assert(t, !m.Same("a1", "b1") && !m.Same("odd", "unknown"))
}

// TestContextCarriesRegions guards against calls that lose their limit.
func TestContextCarriesRegions(t *testing.T) {
	assert.Assert(t, LimitOf(t.Context()) == nil)
	assert.Assert(t, LimitOf(WithLimit(t.Context(), nil)) == nil)
	assert.DeepEqual(t, LimitOf(WithLimit(t.Context(), []string{"a"})), []string{"a"})
	assert.Assert(t, LimitOf(WithLimit(t.Context(), []string{})) != nil)
}

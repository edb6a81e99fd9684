package wharflimiter

import (
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharfroute"
)

func TestLevelsWithoutNames(t *testing.T) {
	limits := []wharfroute.Organisation{{Name: "b", Rate: 1}, {Name: "free"}, {Name: "a", Rate: 2}, {Name: "c", Rate: 3}}
	levels := map[string]float64{"a": 3.99, "b": 0.05, "c": 1e9}
	here, there := newRoll(limits), newRoll([]wharfroute.Organisation{limits[3], limits[2], limits[0]})
	packed := here.pack(func(name string) float64 { return levels[name] })
	assert.Equal(t, len(packed.Tokens), 3*levelBytes)
	for name, want := range map[string]float64{"a": 3.9375, "b": 0, "c": 4095.9375, "free": 0, "unknown": 0} {
		assert.Equal(t, there.read(packed, name), want, name)
	}
	assert.Equal(t, there.read(wharfgossip.Levels{}, "a"), 0.0, "nothing was heard yet")
}

func TestLevelsOfAnotherConfigurationAreGuessed(t *testing.T) {
	before := newRoll([]wharfroute.Organisation{{Name: "a", Rate: 1}, {Name: "b", Rate: 1}})
	after := newRoll([]wharfroute.Organisation{{Name: "b", Rate: 1}, {Name: "c", Rate: 1}})
	packed := before.pack(func(string) float64 { return 7 })
	assert.Equal(t, after.read(packed, "b"), guessedLevel, "a level of another organisation is not taken for it")
	packed.OrganisationsHash = after.mark
	packed.Tokens = packed.Tokens[:levelBytes]
	assert.Equal(t, after.read(packed, "c"), guessedLevel)
}

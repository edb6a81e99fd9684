package wharfseries

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRegressionsHaveCauses(t *testing.T) {
	causes, err := loadRegressions()
	assert.NilError(t, err)
	assert.Assert(t, len(causes) >= 5)
	for seed, cause := range causes {
		assert.Assert(t, cause != "", "seed %d", seed)
	}
}

func TestRegressionsRunFirst(t *testing.T) {
	options := Options{FirstSeed: 1000, Seeds: 2, Regressions: true}
	assert.DeepEqual(t, options.seeds(map[uint64]string{17: "b", 15: "a"}), []uint64{15, 17, 1000, 1001})
	options.Regressions = false
	assert.DeepEqual(t, options.seeds(map[uint64]string{17: "b"}), []uint64{1000, 1001})
	options.FirstSeed = 0
	drawn := options.seeds(nil)
	assert.Assert(t, drawn[0] < maxSeed && drawn[1] == drawn[0]+1)
}

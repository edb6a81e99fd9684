package wharfdelta

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestApplyReproducesTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.SliceOf(rapid.ByteRange('a', 'c')).Draw(t, "from")
		to := rapid.SliceOf(rapid.ByteRange('a', 'c')).Draw(t, "to")
		applied, err := Between(from, to).Apply(from)
		assert.NilError(t, err)
		assert.Equal(t, string(applied), string(to))
	})
}

func FuzzApply(f *testing.F) {
	f.Add(1, 1, []byte("x"), []byte("abc"))
	f.Fuzz(func(_ *testing.T, prefix, suffix int, middle, from []byte) {
		_, _ = Delta{Prefix: prefix, Suffix: suffix, Middle: middle}.Apply(from)
	})
}

package wharfkey

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// names draws names of the characters that keys are joined with, some of them the escaped form of another name.
func names() *rapid.Generator[string] {
	short := rapid.StringOfN(rapid.RuneFrom([]rune("a-/.%x0é\x00 ")), 0, 6, -1)
	return rapid.OneOf(short, rapid.Map(short, Escape), rapid.Map(short, func(s string) string { return strings.Repeat(s, 60) }))
}

// TestDifferentNamesHaveDifferentKeys guards against rows and objects of two organisations under one key (review/3).
func TestDifferentNamesHaveDifferentKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.SliceOfN(names(), 2, 2).Draw(t, "a"), rapid.SliceOfN(names(), 2, 2).Draw(t, "b")
		same := a[0] == b[0] && a[1] == b[1]
		assert.Equal(t, Join(a...) == Join(b...), same, "%q and %q", Join(a...), Join(b...))
		assert.Equal(t, Hash([]byte(a[1]), a[0]) == Hash([]byte(b[1]), b[0]), same)
		assert.Equal(t, Sum64([]byte(a[1]), a[0]) == Sum64([]byte(b[1]), b[0]), same)
		assert.Assert(t, len(Join(a...)) <= 2*80+1)
	})
}

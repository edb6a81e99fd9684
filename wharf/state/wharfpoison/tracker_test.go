package wharfpoison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBlocked(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name    string
		alone   []bool
		blocked bool
	}{
		{"never", nil, false},
		{"once with others", []bool{false}, false},
		{"once alone", []bool{true}, false},
		{"twice with others", []bool{false, false}, false},
		{"with others, then alone", []bool{false, true}, true},
		{"three times with others", []bool{false, false, false}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := New()
			for _, alone := range test.alone {
				tracker.RecordCrash(1, alone, now)
			}
			assert.Equal(t, tracker.Blocked(1, now), test.blocked)
			assert.Equal(t, tracker.Suspect(1, now), len(test.alone) > 0)
			assert.Assert(t, !tracker.Blocked(1, now.Add(entryTTL)))
			tracker.Clear(1)
			assert.Assert(t, !tracker.Suspect(1, now))
		})
	}
}

func TestMergeNeverLowersCounts(t *testing.T) {
	tracker := New()
	now := time.Now()
	tracker.Merge(1, 3, false, now)
	tracker.Merge(1, 1, false, now)
	assert.Assert(t, tracker.Blocked(1, now))
}

func TestFingerprintDependsOnOrganisation(t *testing.T) {
	body := []byte("x")
	assert.Assert(t, Fingerprint("a", "s", body) != Fingerprint("b", "s", body))
	assert.Equal(t, Fingerprint("a", "s", body), Fingerprint("a", "s", body))
}

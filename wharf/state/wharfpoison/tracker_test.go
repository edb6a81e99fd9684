package wharfpoison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestConvicted(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name      string
		alone     []bool
		convicted bool
	}{
		{"never", nil, false},
		{"once in company", []bool{false}, false},
		{"once alone", []bool{true}, false},
		{"twice in company", []bool{false, false}, false},
		{"in company, then alone", []bool{false, true}, true},
		{"three times in company", []bool{false, false, false}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := New()
			for _, alone := range test.alone {
				l.Strike(1, alone, now)
			}
			assert.Equal(t, l.Blocked(1, now), test.convicted)
			assert.Equal(t, l.Suspect(1, now), len(test.alone) > 0)
			assert.Assert(t, !l.Blocked(1, now.Add(memory)))
			l.Clear(1)
			assert.Assert(t, !l.Suspect(1, now))
		})
	}
}

func TestLearnedCountsNeverFall(t *testing.T) {
	l := New()
	now := time.Now()
	l.Merge(1, 3, false, now)
	l.Merge(1, 1, false, now)
	assert.Assert(t, l.Blocked(1, now))
}

func TestFingerprintTellsOrganisationsApart(t *testing.T) {
	body := []byte("x")
	assert.Assert(t, Fingerprint("a", "s", body) != Fingerprint("b", "s", body))
	assert.Equal(t, Fingerprint("a", "s", body), Fingerprint("a", "s", body))
}

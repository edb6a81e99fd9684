package wharfconfig

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const goodBundle = `[[zone]]
name = "a"

[[zone]]
name = "b"
share = 3.0

[[organisation]]
name = "o"
rate = 10.0
burst = 20.0

[[key]]
id = "o-1"
organisation = "o"
sha256 = "0000000000000000000000000000000000000000000000000000000000000000"

[[service]]
name = "m"
kind = "model"

[[endpoint]]
name = "e"
service = "m"
availability-zone = "a"
url = "http://127.0.0.1:1"
slots = 4
`

func TestParse(t *testing.T) {
	bundle, err := Parse([]byte(goodBundle))
	assert.NilError(t, err)
	assert.Equal(t, bundle.Organisations[0].Weight, 1.0)
	tests := []struct {
		name, from, to, want string
	}{
		{"unknown key", `burst = 20.0`, "burst = 20.0\nbrust = 1", `unknown key "organisation.brust" on line 12`},
		{"unknown organisation", `organisation = "o"`, `organisation = "x"`, `unknown organisation "x"`},
		{"short hash", `sha256 = "00`, `sha256 = "`, "64 hexadecimal digits"},
		{"no rate", `rate = 10.0`, `rate = 0.0`, "rate must be above 0"},
		{"bad kind", `kind = "model"`, `kind = "modal"`, "kind must be"},
		{"relative url", `http://127.0.0.1:1`, `/x`, "not absolute"},
		{"name with a slash", `name = "o"`, `name = "o/p"`, "bad name"},
		{"unknown zone", `availability-zone = "a"`, `availability-zone = "c"`, `unknown availability zone "c"`},
		{"not TOML", `[[zone]]`, `[[zone`, "invalid configuration bundle"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(goodBundle, test.from, test.to, 1)))
			assert.Assert(t, errors.Is(err, ErrInvalid))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

func TestSplitSumsToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bundle := &Bundle{}
		for i := range rapid.IntRange(1, 10).Draw(t, "zones") {
			bundle.Zones = append(bundle.Zones, Zone{Name: fmt.Sprint(i), Share: float64(rapid.IntRange(0, 5).Draw(t, "share"))})
		}
		organisation := &Organisation{Name: rapid.String().Draw(t, "name"), Burst: rapid.Float64Range(1, 100).Draw(t, "burst")}
		sum := 0.0
		for _, share := range bundle.ZoneShares(organisation) {
			sum += share
		}
		if sum < 1-1e-9 || sum > 1+1e-9 {
			t.Fatalf("shares sum to %v", sum)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodBundle))
	f.Add([]byte("[[zone]]\nname = \"a\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		bundle, err := Parse(text)
		if err == nil && bundle.Validate() != nil {
			t.Fatal("accepted a bundle that is not valid")
		}
	})
}

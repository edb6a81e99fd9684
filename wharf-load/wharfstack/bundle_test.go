package wharfstack

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfaudit"
	"wagtailwharf.example/wharf/state/wharfconfig"
)

// TestBundleHasNoFindings guards against an audit that reports a bundle that daemons serve in full.
func TestBundleHasNoFindings(t *testing.T) {
	process := func(name string) []*Process { return []*Process{{Name: name, Zone: "a", URL: "http://127.0.0.1:80"}} }
	s := &Stack{
		Options: Options{
			Zones: []string{"a", "b"}, Region: "r", Slots: 4, Service: "assist", ExtraEndpoints: 2,
			Organisations: []Organisation{{Name: "tema", Rate: 10, Burst: 20}, {Name: "accra", Rate: 10, Burst: 20, Weight: 2}},
		},
		Engines: process("engine"), Services: process("ledger"), Keys: map[string]string{},
		BundleFile: filepath.Join(t.TempDir(), "bundle.toml"),
	}
	assert.NilError(t, s.writeBundle())
	text, err := os.ReadFile(s.BundleFile)
	assert.NilError(t, err)
	bundle, err := wharfconfig.Parse(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, wharfaudit.Bundle(bundle), []wharfaudit.Finding(nil))
	assert.DeepEqual(t, wharfaudit.BundleDifferences(bundle, bundle), []wharfaudit.Finding(nil))
}

package wharfhostsettings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/protocol/wharfsettings"
	"wagtailwharf.example/wharf/state/wharfregion"
)

const valid = `host = "h"
availability-zone = "z"
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
peers = "10.0.0.1:82"
metrics = "10.0.0.1:83"
store = "10.0.0.2:84"
first-start = true
memory-mb = 154
[stop]
limit = "8s"
[jobs]
keep = "120s"
`

func TestValidSettings(t *testing.T) {
	s, err := Parse([]byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, s.MemoryMB, int64(154))
	assert.Equal(t, time.Duration(s.Jobs.Retention), 2*time.Minute)
	assert.Assert(t, s.FirstStart)
	assert.Equal(t, s.ProcessorShare, 1.0)
	assert.Equal(t, s.MaxMeshPeers, 24)
	assert.Assert(t, !s.Placement.ByCost, "placement by paces is opt-in")
	s, err = Parse([]byte(strings.Replace(valid, "memory-mb = 154", "memory-mb = 154\nprocessor-share = 2\nmax-mesh-peers = 0", 1)))
	assert.NilError(t, err, "a whole number of cores needs no point")
	assert.Equal(t, s.ProcessorShare, 2.0)
	assert.Equal(t, s.MaxMeshPeers, 0)
	s, err = Parse([]byte(valid + "[placement]\nby-cost = true\n"))
	assert.NilError(t, err)
	assert.Assert(t, s.Placement.ByCost)
}

func TestInvalidSettingsAreReported(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`host = "h"`, `host = ""`, "host is missing"},
		{`"10.0.0.1:82"`, `"here"`, "peers"},
		{`store = "10.0.0.2:84"`, "", "store must be an IP address with a port"},
		{`store =`, "peers-advertised = \"10.0.0.9:0\"\nstore =", "peers-advertised must be an IP address with a port"},
		{`memory-mb = 154`, `memory-mb = 8`, "memory-mb must be at least 64"},
		{`memory-mb = 154`, "memory-mb = 154\nprocessor-share = 0", "processor-share must be over 0"},
		{`memory-mb = 154`, "memory-mb = 154\nprocessor-share = 2000", "processor-share must be over 0 and at most 1024"},
		{`memory-mb = 154`, "memory-mb = 154\nmax-mesh-peers = -1", "max-mesh-peers must not be negative"},
		{`limit = "8s"`, `limit = "soon"`, "soon"},
		{`keep = "120s"`, `kept = "120s"`, "unknown key"},
		{`[jobs]`, "[limits]\nmax-open-files = 63\n[jobs]", "limits.max-open-files must be at least 64"},
		{`[jobs]`, "[limits]\nmax-connections = -1\n[jobs]", "limits.max-connections must not be negative"},
		{`[jobs]`, "[limits]\nbody-memory-mb = 7\n[jobs]", "limits.body-memory-mb must be from 8"},
		{`[jobs]`, "[limits]\nbody-memory-mb = 78\n[jobs]", "limits.body-memory-mb must be from 8 to half of memory-mb"},
		{`[jobs]`, "[limits]\nbody-time = \"0s\"\n[jobs]", "limits.body-time must be longer than 0"},
		{`[jobs]`, "[limits]\nbody-rate = -1\n[jobs]", "limits.body-rate must not be negative"},
	} {
		_, err := Parse([]byte(strings.Replace(valid, c.from, c.to, 1)))
		assert.Assert(t, errors.Is(err, wharfsettings.ErrInvalid), c.to)
		assert.ErrorContains(t, err, c.want)
	}
}

// TestRegionsAreReadAsRendered guards against settings that can't be read because the platform has no regions, or quotes them.
func TestRegionsAreReadAsRendered(t *testing.T) {
	for text, want := range map[string]wharfregion.Map{
		"":                                      {},
		"region = ''\nzones = ''\n":             {},
		"region = 'null'\nzones = 'null'\n":     {},
		"region = '\"\"'\nzones = '{}'\n":       {},
		"region = 'r'\n":                        {"z": "r"},
		"region = '\"r\"'\n":                    {"z": "r"},
		"zones = '{\"a\":\"r\",\"b\":\"s\"}'\n": {"a": "r", "b": "s"},
		"region = '\"r\"'\nzones = '{\"z\":\"r\",\"b\":\"s\"}'\n": {"z": "r", "b": "s"},
	} {
		s, err := Parse([]byte(text + valid))
		assert.NilError(t, err, text)
		assert.DeepEqual(t, s.Regions(), want)
	}
	for _, text := range []string{"zones = '['", "zones = '{\"z\":1}'", "region = '\"r'", "region = 'r'\nzones = '{\"z\":\"s\"}'"} {
		_, err := Parse([]byte(text + "\n" + valid))
		assert.Assert(t, errors.Is(err, wharfsettings.ErrInvalid), text)
	}
}

func TestPeerAddressPrefersAdvertisedAddress(t *testing.T) {
	s, err := Parse([]byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, s.PeerAddress().String(), "10.0.0.1:82")
	s, err = Parse([]byte("peers-advertised = \"10.9.0.1:4000\"\n" + valid))
	assert.NilError(t, err)
	assert.Equal(t, s.PeerAddress().String(), "10.9.0.1:4000")
}

// TestLimitsFollowFromTheMachine checks that a daemon of the smallest machine can hold a body of the largest size, and that
// its connections leave memory and descriptors for the rest.
func TestLimitsFollowFromTheMachine(t *testing.T) {
	for _, c := range []struct {
		memoryMB              int64
		openFiles, configured int
		want                  int
	}{
		{64, 1 << 20, 0, 341},
		{144, 1 << 20, 3075, 768},
		{1024, 1 << 20, 3075, 1921},
		{1024, 1000, 3075, 625},
		{1024, 1 << 20, 10250, 5461},
	} {
		s := Default()
		s.MemoryMB, s.Limits.MaxOpenFiles = c.memoryMB, c.configured
		size, reserve := s.BodyMemory()
		assert.Assert(t, size >= 6<<20+2, "a body of 4 MiB and the buffer that it has outgrown")
		assert.Assert(t, reserve >= 128*16<<10, "128 small bodies")
		assert.Equal(t, s.MaxConnections(c.openFiles), c.want)
	}
	s := Default()
	s.Limits.MaxConnections, s.Limits.BodyMemoryMB = 50, 30
	size, _ := s.BodyMemory()
	assert.Equal(t, size, int64(30<<20))
	assert.Equal(t, s.MaxConnections(1000), 50)
}

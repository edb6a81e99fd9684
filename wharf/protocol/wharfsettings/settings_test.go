package wharfsettings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const valid = `host = "entry-1"
availability-zone = "a"
callers = "127.0.0.1:7000"
peers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
platform = "http://127.0.0.1:9000"

[lease]
term = "2s"

[secrets]
peer-token-file = "peer"
operator-token-file = "operator"

[signing]
signatures-needed = 1

[signing.signers]
ana = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
`

func TestParse(t *testing.T) {
	settings, err := Parse([]byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, time.Duration(settings.Lease.Term), 2*time.Second)
	assert.Equal(t, time.Duration(settings.Lease.Margin), 250*time.Millisecond, "default")
	tests := []struct {
		name, from, to, want string
	}{
		{"unknown key", `host = "entry-1"`, "hots = \"x\"\nhost = \"entry-1\"", `unknown key "hots" on line 1`},
		{"no host", `host = "entry-1"`, ``, "host must be a name"},
		{"bad address", `127.0.0.1:7001`, `somewhere`, "invalid settings"},
		{"peers on any address", `127.0.0.1:7001`, `0.0.0.0:7001`, "that other hosts can call"},
		{"short term", `"2s"`, `"2ms"`, "lease.term must be at least"},
		{"bad duration", `"2s"`, `"soon"`, "invalid settings"},
		{"relative platform", `http://127.0.0.1:9000`, `/x`, "absolute url"},
		{"bad signer", `"AAAA`, `"`, "Ed25519"},
		{"too many signatures", `signatures-needed = 1`, `signatures-needed = 2`, "signatures-needed"},
		{"unknown policy", `[secrets]`, "[policies]\nbatch = \"x\"\n[secrets]", "policies.batch must be one of"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, test.from, test.to, 1)))
			assert.Assert(t, errors.Is(err, ErrInvalid), "%v", err)
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// TestMemoryHoldsTheLargestFile guards against limits with which the largest input file or body can never be served.
func TestMemoryHoldsTheLargestFile(t *testing.T) {
	s := Default()
	size, reserve := s.BodyMemory()
	assert.Assert(t, size >= 2*s.Limits.MaxUploadBytes && size >= 2*s.Limits.MaxBodyBytes && reserve > 0)
	assert.Equal(t, s.MaxConnections(300), 187)
	s.Limits.MaxOpenFiles = 150
	assert.Equal(t, s.MaxConnections(300), 93)
	s.Limits.MaxConnections = 7
	assert.Equal(t, s.MaxConnections(300), 7)
	s.MemoryMB = 839
	assert.ErrorContains(t, s.Validate(), "memory-mb must be at least 840")
	s.Limits.BodyRate, s.Limits.MaxOpenFiles = -1, 63
	assert.ErrorContains(t, s.Validate(), "limits.body-rate")
	assert.ErrorContains(t, s.Validate(), "limits.max-open-files must be at least 64")
}

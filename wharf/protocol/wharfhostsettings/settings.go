package wharfhostsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"wagtailwharf.example/wharf/protocol/wharfsettings"
)

// Settings are the settings of one daemon.
type Settings struct {
	Host       string         `toml:"host"`
	Zone       string         `toml:"availability-zone"`
	Callers    netip.AddrPort `toml:"callers"`
	Readiness  netip.AddrPort `toml:"readiness"`
	Peers      netip.AddrPort `toml:"peers"`
	Advertised netip.AddrPort `toml:"peers-advertised"` // where other hosts reach Peers, if that is another address
	Metrics    netip.AddrPort `toml:"metrics"`
	Store      netip.AddrPort `toml:"store"`
	FirstStart bool           `toml:"first-start"`
	MemoryMB   int64          `toml:"memory-mb"` // the process's limit in MB (2^20 bytes)
	LogLevel   int            `toml:"log-level"`
	Stop       Stop           `toml:"stop"`
	Jobs       Jobs           `toml:"jobs"`
}

// Stop bounds a planned stop.
type Stop struct {
	// Limit is the time from the signal until the process is killed.
	Limit wharfsettings.Duration `toml:"limit"`
}

// Jobs are the settings of batch jobs.
type Jobs struct {
	// Retention is how long a job's results can be read after its submission.
	Retention wharfsettings.Duration `toml:"keep"`
}

// Default returns settings with every default filled in.
func Default() Settings {
	return Settings{
		MemoryMB: 256,
		Stop:     Stop{Limit: wharfsettings.Duration(8 * time.Second)},
		Jobs:     Jobs{Retention: wharfsettings.Duration(2 * time.Minute)},
	}
}

// PeerAddress returns the address at which other hosts reach this one, for calls and datagrams.
func (s *Settings) PeerAddress() netip.AddrPort {
	if s.Advertised.IsValid() {
		return s.Advertised
	}
	return s.Peers
}

// Read reads and checks a file.
func Read(path string) (Settings, error) {
	return wharfsettings.ReadInto(path, Default(), (*Settings).Validate)
}

// Parse reads and checks settings.
func Parse(text []byte) (Settings, error) {
	return wharfsettings.ParseInto(text, Default(), (*Settings).Validate)
}

// Validate returns wharfsettings.ErrInvalid with everything that is wrong.
func (s *Settings) Validate() error {
	var wrong []error
	require := func(ok bool, format string, arguments ...any) {
		if !ok {
			wrong = append(wrong, fmt.Errorf(format, arguments...))
		}
	}
	require(s.Host != "", "host is missing")
	require(s.Zone != "", "availability-zone is missing")
	for name, address := range map[string]netip.AddrPort{
		"callers": s.Callers, "readiness": s.Readiness, "peers": s.Peers, "metrics": s.Metrics, "store": s.Store,
	} {
		require(address.IsValid() && address.Port() > 0, "%s must be an IP address with a port", name)
	}
	require(s.Advertised == netip.AddrPort{} || s.Advertised.Port() > 0, "peers-advertised must be an IP address with a port, or left out")
	require(s.MemoryMB >= leastMemory, "memory-mb must be at least %d", leastMemory)
	require(s.Stop.Limit > 0, "stop.limit must be longer than 0")
	require(s.Jobs.Retention > 0, "jobs.keep must be longer than 0")
	if len(wrong) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", wharfsettings.ErrInvalid, errors.Join(wrong...))
}

// leastMemory is the smallest limit in MB with which a daemon starts and serves.
const leastMemory = 64

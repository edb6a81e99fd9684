package wharfhostsettings

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/protocol/wharfsettings"
	"wagtailwharf.example/wharf/state/wharfregion"
)

// Settings are the settings of one daemon.
type Settings struct {
	Host       string         `toml:"host"`
	Zone       string         `toml:"availability-zone"`
	Callers    netip.AddrPort `toml:"callers"`
	Readiness  netip.AddrPort `toml:"readiness"`
	Peers      netip.AddrPort `toml:"peers"`
	Advertised netip.AddrPort `toml:"peers-advertised"` // address at which other hosts reach Peers, if different
	Metrics    netip.AddrPort `toml:"metrics"`
	Store      netip.AddrPort `toml:"store"`
	FirstStart bool           `toml:"first-start"`
	MemoryMB   int64          `toml:"memory-mb"` // memory limit of the process in MB (2^20 bytes)
	// ProcessorShare is the part of a core that the host has; hosts with more allocate slots for their zone.
	ProcessorShare float64 `toml:"processor-share"`
	// MaxMeshPeers is the number of other hosts up to which all hosts tell each other all changes directly. With more,
	// two hosts of each zone allocate the slots of its endpoints.
	MaxMeshPeers int `toml:"max-mesh-peers"`
	LogLevel     int `toml:"log-level"`
	// Region is the host's region, and Zones maps availability zones to regions. They are of use for routes and organisations
	// that are limited to regions.
	Region Region `toml:"region"`
	Zones  Zones  `toml:"zones"`
	Stop   Stop   `toml:"stop"`
	Jobs   Jobs   `toml:"jobs"`
}

// Stop holds the settings of a planned shutdown.
type Stop struct {
	// Limit is the time from the signal to stop until the process is killed.
	Limit wharfsettings.Duration `toml:"limit"`
}

// Jobs holds the settings of batch jobs.
type Jobs struct {
	// Retention is how long the results of a job can be read after its submission.
	Retention wharfsettings.Duration `toml:"keep"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		MemoryMB:       256,
		ProcessorShare: 1,
		MaxMeshPeers:   wharfgossip.DefaultMaxMeshPeers,
		Stop:           Stop{Limit: wharfsettings.Duration(8 * time.Second)},
		Jobs:           Jobs{Retention: wharfsettings.Duration(2 * time.Minute)},
	}
}

// Regions returns the regions of the zones, this host's own included.
func (s *Settings) Regions() wharfregion.Map {
	regions := wharfregion.Map{}
	maps.Copy(regions, s.Zones)
	if s.Region != "" {
		regions[s.Zone] = string(s.Region)
	}
	return regions
}

// PeerAddress returns the address at which other hosts reach this host by RPC and by UDP.
func (s *Settings) PeerAddress() netip.AddrPort {
	if s.Advertised.IsValid() {
		return s.Advertised
	}
	return s.Peers
}

// Read reads and validates a settings file.
func Read(path string) (Settings, error) {
	return wharfsettings.ReadInto(path, Default(), (*Settings).Validate)
}

// Parse decodes and validates settings.
func Parse(text []byte) (Settings, error) {
	return wharfsettings.ParseInto(text, Default(), (*Settings).Validate)
}

// Validate returns all violations of the rules, joined under wharfsettings.ErrInvalid.
func (s *Settings) Validate() error {
	var problems []error
	require := func(holds bool, format string, args ...any) {
		if !holds {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	require(s.Host != "", "host is missing")
	require(s.Zone != "", "availability-zone is missing")
	for name, address := range map[string]netip.AddrPort{
		"callers": s.Callers, "readiness": s.Readiness, "peers": s.Peers, "metrics": s.Metrics, "store": s.Store,
	} {
		require(address.IsValid() && address.Port() > 0, "%s must be an IP address with a port", name)
	}
	require(s.Advertised == netip.AddrPort{} || s.Advertised.Port() > 0,
		"peers-advertised must be an IP address with a port, or left out")
	require(s.MemoryMB >= minMemoryMB, "memory-mb must be at least %d", minMemoryMB)
	require(s.ProcessorShare > 0 && s.ProcessorShare <= maxProcessorShare,
		"processor-share must be over 0 and at most %d", maxProcessorShare)
	require(s.MaxMeshPeers >= 0, "max-mesh-peers must not be negative")
	require(s.Region == "" || s.Zones[s.Zone] == "" || s.Zones[s.Zone] == string(s.Region),
		"region is %q, but zones has %q for availability-zone", s.Region, s.Zones[s.Zone])
	require(s.Stop.Limit > 0, "stop.limit must be longer than 0")
	require(s.Jobs.Retention > 0, "jobs.keep must be longer than 0")
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", wharfsettings.ErrInvalid, errors.Join(problems...))
}

// minMemoryMB is the smallest memory limit with which a daemon can start and serve requests.
const minMemoryMB = 64

// maxProcessorShare is the largest number of cores of a host.
const maxProcessorShare = 1024

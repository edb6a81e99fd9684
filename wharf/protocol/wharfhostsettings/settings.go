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
	Region    Region    `toml:"region"`
	Zones     Zones     `toml:"zones"`
	Stop      Stop      `toml:"stop"`
	Jobs      Jobs      `toml:"jobs"`
	Placement Placement `toml:"placement"`
	Limits    Limits    `toml:"limits"`
}

// Limits holds the limits of what callers may take of a host, whoever they are.
type Limits struct {
	MaxOpenFiles   int                    `toml:"max-open-files"`  // of the process; 0 for what the system allows it
	MaxConnections int                    `toml:"max-connections"` // of callers; 0 for a share of MaxOpenFiles and MemoryMB
	BodyMemoryMB   int64                  `toml:"body-memory-mb"`  // for callers' bodies together; 0 for a share of MemoryMB
	BodyTime       wharfsettings.Duration `toml:"body-time"`       // for one body
	BodyRate       int64                  `toml:"body-rate"`       // least bytes per second of a body
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

// Placement holds the settings of the choice of endpoints.
type Placement struct {
	// ByCost says that endpoints are weighed by the paces that were learned from their answers.
	ByCost bool `toml:"by-cost"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		MemoryMB:       256,
		ProcessorShare: 1,
		MaxMeshPeers:   wharfgossip.DefaultMaxMeshPeers,
		Stop:           Stop{Limit: wharfsettings.Duration(8 * time.Second)},
		Jobs:           Jobs{Retention: wharfsettings.Duration(2 * time.Minute)},
		Limits:         Limits{BodyTime: wharfsettings.Duration(time.Minute), BodyRate: defaultBodyRate},
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

// defaultBodyRate is below the rate of any link that is of use: a prompt of 4 KB would take four seconds.
const defaultBodyRate = 1 << 10

const (
	// bodyMemoryShare is the part of the memory, one in bodyMemoryShare, for bodies of callers, and reserveShare the part
	// beside it for small bodies alone. A daemon without load takes some 20 MB, outputs of batch items an eighth, and what the
	// garbage collector has not yet freed as much as the bodies.
	bodyMemoryShare = 5
	reserveShare    = 24
	// connectionMemoryShare is the part of the memory for connections of callers, and connectionBytes what one takes at most:
	// its buffers and stack, and a header of 32 KB.
	connectionMemoryShare = 4
	connectionBytes       = 48 << 10
)

// BodyMemory returns the bytes that callers' bodies may hold together, and the reserve for small ones beside them.
func (s *Settings) BodyMemory() (size, reserve int64) {
	size = s.Limits.BodyMemoryMB << 20
	if size == 0 {
		size = s.MemoryMB << 20 / bodyMemoryShare
	}
	return size, s.MemoryMB << 20 / reserveShare
}

// MaxConnections returns the largest number of callers' connections for a process that may open openFiles descriptors:
// five eighths. The others are for endpoints, other hosts, the store and files.
func (s *Settings) MaxConnections(openFiles int) int {
	if s.Limits.MaxConnections > 0 {
		return s.Limits.MaxConnections
	}
	if s.Limits.MaxOpenFiles > 0 {
		openFiles = min(openFiles, s.Limits.MaxOpenFiles)
	}
	return min(openFiles*5/8, int(s.MemoryMB<<20/connectionMemoryShare/connectionBytes))
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
	require(s.Limits.MaxOpenFiles == 0 || s.Limits.MaxOpenFiles >= minOpenFiles,
		"limits.max-open-files must be at least %d, or 0", minOpenFiles)
	require(s.Limits.MaxConnections >= 0, "limits.max-connections must not be negative")
	require(s.Limits.BodyMemoryMB == 0 || s.Limits.BodyMemoryMB >= minBodyMemoryMB && s.Limits.BodyMemoryMB <= s.MemoryMB/2,
		"limits.body-memory-mb must be from %d to half of memory-mb, or 0", minBodyMemoryMB)
	require(s.Limits.BodyTime > 0, "limits.body-time must be longer than 0")
	require(s.Limits.BodyRate >= 0, "limits.body-rate must not be negative")
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", wharfsettings.ErrInvalid, errors.Join(problems...))
}

// minMemoryMB is the smallest memory limit with which a daemon can start and serve requests.
const minMemoryMB = 64

const (
	// minOpenFiles is the smallest number of descriptors with which a daemon can start and serve requests.
	minOpenFiles = 64
	// minBodyMemoryMB holds one body of 4 MiB and its buffer half the size, which it has outgrown.
	minBodyMemoryMB = 8
)

// maxProcessorShare is the largest number of cores of a host.
const maxProcessorShare = 1024

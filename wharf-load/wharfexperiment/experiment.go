package wharfexperiment

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"wagtailwharf.example/wharf-load/wharfstack"
)

// ErrInvalid is returned for an invalid experiment file.
var ErrInvalid = errors.New("invalid experiment")

// Duration is a time.Duration that is decoded from text such as "5s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// Experiment describes a deployment, the load on it, and the faults.
type Experiment struct {
	Name       string       `toml:"name"`
	Seed       uint64       `toml:"seed"`
	Length     Duration     `toml:"length"`
	WarmUp     Duration     `toml:"warm-up"` // excluded from the results
	Deployment Deployment   `toml:"deployment"`
	Policies   Policies     `toml:"policies"`
	Online     []OnlineLoad `toml:"online"`
	Batch      BatchLoad    `toml:"batch"`
	Faults     []Fault      `toml:"fault"`
}

// Deployment describes the size and settings of a deployment.
type Deployment struct {
	Region         string   `toml:"region"`
	Zones          int      `toml:"availability-zones"`
	DaemonsPerZone int      `toml:"daemons-per-zone"`
	EnginesPerZone int      `toml:"engines-per-zone"`
	Slots          int      `toml:"slots"`
	TokenTime      Duration `toml:"token-time"`
	Service        string   `toml:"service"`
	LeaseTerm      Duration `toml:"lease-term"`
	Headroom       float64  `toml:"headroom"`
}

// Policies holds the [policies] of the daemons' settings; empty values select the defaults.
type Policies struct {
	Batch    string `toml:"batch"`
	Endpoint string `toml:"endpoint"`
	Rate     string `toml:"rate"`
	Queue    string `toml:"queue"`
}

// OnlineLoad is the online load of one organisation. Times count from the start of the experiment.
type OnlineLoad struct {
	Organisation string   `toml:"organisation"`
	Rate         float64  `toml:"rate"`  // limit in requests per second
	Burst        float64  `toml:"burst"` // limit in requests
	SendRate     float64  `toml:"sent"`  // requests per second
	Tokens       int      `toml:"tokens"`
	StartAt      Duration `toml:"from"`
	StopAt       Duration `toml:"until"`
	OneZone      bool     `toml:"one-zone"` // send through hosts of the first zone only
	Weight       float64  `toml:"weight"`
}

// BatchLoad is a batch job that is submitted at the start; none if Items is 0.
type BatchLoad struct {
	Organisation string `toml:"organisation"`
	Items        int    `toml:"items"`
	Tokens       int    `toml:"tokens"`
}

// Fault is a fault with its start and end; it is permanent if EndAt is 0.
type Fault struct {
	Kind    string   `toml:"kind"`
	StartAt Duration `toml:"at"`
	EndAt   Duration `toml:"until"`
}

// Kinds of faults.
const (
	KillDaemon   = "kill-daemon"
	KillEngine   = "kill-worker"
	FreezeDaemon = "freeze-daemon"
	PlatformDown = "platform-down"
	PlatformCut  = "platform-cut"
	Poison       = "poison"
)

// Read reads and validates an experiment file; the error wraps ErrInvalid if the content is invalid.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var e Experiment
	meta, err := toml.Decode(string(text), &e)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrInvalid, path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%w: %s: unknown key %q", ErrInvalid, path, unknown[0])
	}
	if e.Length <= 0 || e.Deployment.Zones < 1 || len(e.Online) == 0 {
		return nil, fmt.Errorf("%w: %s: length, deployment and online are required", ErrInvalid, path)
	}
	return &e, nil
}

// stackOptions returns the options for starting the deployment.
func (e *Experiment) stackOptions(bin, dir string) wharfstack.Options {
	options := wharfstack.Options{
		BinDir:         bin,
		WorkDir:        dir,
		Region:         e.Deployment.Region,
		DaemonsPerZone: e.Deployment.DaemonsPerZone,
		EnginesPerZone: e.Deployment.EnginesPerZone,
		Slots:          e.Deployment.Slots,
		TokenTime:      time.Duration(e.Deployment.TokenTime),
		Service:        e.Deployment.Service,
		LeaseTerm:      time.Duration(e.Deployment.LeaseTerm),
		Headroom:       e.Deployment.Headroom,
		Policies: map[string]string{
			"batch": e.Policies.Batch, "endpoint": e.Policies.Endpoint, "rate": e.Policies.Rate,
			"queue": e.Policies.Queue,
		},
	}
	for i := range e.Deployment.Zones {
		options.Zones = append(options.Zones, fmt.Sprintf("%s-%c", e.Deployment.Region, 'a'+i))
	}
	seen := map[string]bool{}
	for _, o := range e.Online {
		if seen[o.Organisation] {
			continue
		}
		seen[o.Organisation] = true
		options.Organisations = append(options.Organisations, wharfstack.Organisation{
			Name: o.Organisation, Rate: o.Rate, Burst: o.Burst, Weight: o.Weight,
		})
	}
	if e.Batch.Items > 0 && !seen[e.Batch.Organisation] {
		options.Organisations = append(options.Organisations, wharfstack.Organisation{
			Name: e.Batch.Organisation, Rate: 100, Burst: 100,
		})
	}
	return options
}

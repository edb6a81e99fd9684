package wharfseries

import (
	"cmp"
	"context"
	_ "embed" // for regressions.toml
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"wagtailwharf.example/wharf-load/wharfsoak"
)

//go:embed regressions.toml
var regressionsTOML string

const (
	// maxSeed bounds random seeds, so that they are short enough to type.
	maxSeed  = 1_000_000_000
	fileMode = 0o600
)

// ErrFailed is returned when runs violated guarantees or could not be started.
var ErrFailed = errors.New("seeds failed")

// Options configures a series of seeds.
type Options struct {
	Soak        wharfsoak.Options // options of each run; Seed is set per run, WorkDir is the parent directory
	FirstSeed   uint64            // 0 for a random one
	Seeds       int
	Parallel    int
	Regressions bool // first run the seeds of regressions.toml
}

// regression is a run that failed in the past. Numbers that are not set are those of the series.
type regression struct {
	Seed         uint64 `toml:"seed"`
	Cause        string `toml:"cause"`
	Hosts        int    `toml:"hosts"`
	Endpoints    int    `toml:"endpoints"`
	MaxMeshPeers int    `toml:"max-mesh-peers"`
}

// play is a run of a series; cause is why it failed in the past, "" if it has not.
type play struct {
	options wharfsoak.Options
	cause   string
}

// runner is the state of a series.
type runner struct {
	out    io.Writer
	mu     sync.Mutex
	failed []uint64
}

// Run runs all seeds and writes the outcome of each to out. The error wraps ErrFailed if any seed failed.
func Run(ctx context.Context, options Options, out io.Writer) error {
	regressions, err := loadRegressions()
	if err != nil {
		return err
	}
	plays := options.plays(regressions)
	r := &runner{out: out}
	queue := make(chan play)
	var workers sync.WaitGroup
	for range max(1, options.Parallel) {
		workers.Go(func() {
			for p := range queue {
				r.run(ctx, p)
			}
		})
	}
	for _, p := range plays {
		queue <- p
	}
	close(queue)
	workers.Wait()
	if len(r.failed) > 0 {
		return fmt.Errorf("%w: %d of %d: %v (settings and logs in %s)", ErrFailed, len(r.failed), len(plays), r.failed,
			options.Soak.WorkDir)
	}
	return nil
}

// loadRegressions returns the runs of regressions.toml.
func loadRegressions() ([]regression, error) {
	var list struct {
		Failed []regression `toml:"failed"`
	}
	metadata, err := toml.Decode(regressionsTOML, &list)
	if err != nil {
		return nil, err
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("regressions.toml: unknown keys %v", unknown)
	}
	return list.Failed, nil
}

// plays returns the runs of the series, in order.
func (o *Options) plays(regressions []regression) []play {
	var plays []play
	if o.Regressions {
		for _, f := range regressions {
			options := o.withSeed(f.Seed)
			options.Hosts = cmp.Or(f.Hosts, options.Hosts)
			options.Endpoints = cmp.Or(f.Endpoints, options.Endpoints)
			options.MaxMeshPeers = cmp.Or(f.MaxMeshPeers, options.MaxMeshPeers)
			plays = append(plays, play{options, f.Cause})
		}
	}
	first := o.FirstSeed
	if first == 0 {
		first = rand.Uint64N(maxSeed)
	}
	for i := range o.Seeds {
		plays = append(plays, play{options: o.withSeed(first + uint64(i))})
	}
	return plays
}

// withSeed returns the options of the run of a seed.
func (o *Options) withSeed(seed uint64) wharfsoak.Options {
	options := o.Soak
	options.Seed = seed
	options.WorkDir = filepath.Join(options.WorkDir, strconv.FormatUint(seed, 10))
	return options
}

func (r *runner) run(ctx context.Context, p play) {
	options, seed := p.options, p.options.Seed
	result, err := wharfsoak.Run(ctx, options)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed = append(r.failed, seed)
	} else if removeErr := os.RemoveAll(options.WorkDir); removeErr != nil {
		r.print("could not remove the logs of seed %d: %v", seed, removeErr)
	}
	if result == nil {
		r.print("%v", err)
		return
	}
	verdict := "passed"
	if err != nil {
		verdict = "FAILED"
	}
	r.print("seed %d %s after %v: %d requests, %d served, %d refused, %s streams taken up went on, after recovery %s served, %d jobs, %d faults", seed, verdict,
		result.Duration.Round(time.Second), result.Requests, result.Served, result.Refused, result.TakenUp, result.Recovered,
		result.Jobs, len(result.Faults))
	if p.cause != "" {
		r.print("  failed before: %s", p.cause)
	}
	if err == nil {
		return
	}
	text := describe(result)
	r.print("%s", text)
	if writeErr := os.WriteFile(filepath.Join(options.WorkDir, "findings.txt"), []byte(text),
		fileMode); writeErr != nil {
		r.print("could not write the findings of seed %d: %v", seed, writeErr)
	}
}

// describe lists a run's faults and violated guarantees, one per line.
func describe(r *wharfsoak.Result) string {
	var lines []string
	for _, event := range r.Faults {
		lines = append(lines, "  fault: "+event)
	}
	for _, finding := range r.Findings {
		lines = append(lines, "  violation: "+finding)
	}
	return strings.Join(lines, "\n")
}

// print writes a line; the caller holds the lock.
func (r *runner) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.out, format+"\n", arguments...) // Run returns the failed seeds too
}

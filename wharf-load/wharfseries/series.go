package wharfseries

import (
	"context"
	_ "embed" // for regressions.toml
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
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

// runner is the state of a series.
type runner struct {
	options     Options
	regressions map[uint64]string // causes of earlier failures by seed
	out         io.Writer
	mu          sync.Mutex
	failed      []uint64
}

// Run runs all seeds and writes the outcome of each to out. The error wraps ErrFailed if any seed failed.
func Run(ctx context.Context, options Options, out io.Writer) error {
	regressions, err := loadRegressions()
	if err != nil {
		return err
	}
	seeds := options.seeds(regressions)
	r := &runner{options: options, regressions: regressions, out: out}
	queue := make(chan uint64)
	var workers sync.WaitGroup
	for range max(1, options.Parallel) {
		workers.Go(func() {
			for seed := range queue {
				r.runSeed(ctx, seed)
			}
		})
	}
	for _, seed := range seeds {
		queue <- seed
	}
	close(queue)
	workers.Wait()
	if len(r.failed) > 0 {
		return fmt.Errorf("%w: %d of %d: %v (settings and logs in %s)", ErrFailed, len(r.failed), len(seeds), r.failed,
			options.Soak.WorkDir)
	}
	return nil
}

// loadRegressions returns the seeds of regressions.toml with the causes of their failures.
func loadRegressions() (map[uint64]string, error) {
	var list struct {
		Failed []struct {
			Seed  uint64 `toml:"seed"`
			Cause string `toml:"cause"`
		} `toml:"failed"`
	}
	if _, err := toml.Decode(regressionsTOML, &list); err != nil {
		return nil, err
	}
	causes := map[uint64]string{}
	for _, f := range list.Failed {
		causes[f.Seed] = f.Cause
	}
	return causes, nil
}

// seeds returns the seeds to run, in order.
func (o *Options) seeds(causes map[uint64]string) []uint64 {
	var seeds []uint64
	if o.Regressions {
		seeds = slices.Sorted(maps.Keys(causes))
	}
	first := o.FirstSeed
	if first == 0 {
		first = rand.Uint64N(maxSeed)
	}
	for i := range o.Seeds {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

func (r *runner) runSeed(ctx context.Context, seed uint64) {
	options := r.options.Soak
	options.Seed = seed
	options.WorkDir = filepath.Join(options.WorkDir, strconv.FormatUint(seed, 10))
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
	r.print("seed %d %s after %v: %d requests, %d served, %d refused, after recovery %s served, %d jobs, %d faults", seed, verdict,
		result.Duration.Round(time.Second), result.Requests, result.Served, result.Refused, result.Recovered,
		result.Jobs, len(result.Faults))
	if cause := r.regressions[seed]; cause != "" {
		r.print("  failed before: %s", cause)
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

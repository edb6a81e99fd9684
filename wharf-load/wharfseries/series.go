package wharfseries

import (
	"context"
	_ "embed" // for the seeds that have failed
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
var regressions string

const (
	// largestSeed keeps drawn seeds short enough to type.
	largestSeed = 1_000_000_000
	fileMode    = 0o600
)

// ErrFailed says that seeds broke promises or could not be played.
var ErrFailed = errors.New("seeds have failed")

// Options are a series of seeds.
type Options struct {
	Soak        wharfsoak.Options // of each run, but for its seed
	FirstSeed   uint64            // 0 draws it
	Seeds       int
	Parallel    int
	Regressions bool // play the seeds that have failed before first
}

// series is a series on its way.
type series struct {
	options Options
	causes  map[uint64]string // of the seeds that have failed before
	out     io.Writer
	mu      sync.Mutex
	failed  []uint64
}

// Run plays the seeds and writes a line for each to out; the error is ErrFailed.
func Run(ctx context.Context, options Options, out io.Writer) error {
	causes, err := known()
	if err != nil {
		return err
	}
	seeds := options.seeds(causes)
	s := &series{options: options, causes: causes, out: out}
	queue := make(chan uint64)
	var players sync.WaitGroup
	for range max(1, options.Parallel) {
		players.Go(func() {
			for seed := range queue {
				s.play(ctx, seed)
			}
		})
	}
	for _, seed := range seeds {
		queue <- seed
	}
	close(queue)
	players.Wait()
	if len(s.failed) > 0 {
		return fmt.Errorf("%w: %d of %d: %v (settings and logs are in %s)", ErrFailed, len(s.failed), len(seeds), s.failed, options.Soak.WorkDir)
	}
	return nil
}

// known returns the causes of the seeds that have failed before.
func known() (map[uint64]string, error) {
	var list struct {
		Failed []struct {
			Seed  uint64 `toml:"seed"`
			Cause string `toml:"cause"`
		} `toml:"failed"`
	}
	if _, err := toml.Decode(regressions, &list); err != nil {
		return nil, err
	}
	causes := map[uint64]string{}
	for _, f := range list.Failed {
		causes[f.Seed] = f.Cause
	}
	return causes, nil
}

func (o *Options) seeds(causes map[uint64]string) []uint64 {
	var seeds []uint64
	if o.Regressions {
		seeds = slices.Sorted(maps.Keys(causes))
	}
	first := o.FirstSeed
	if first == 0 {
		first = rand.Uint64N(largestSeed)
	}
	for i := range o.Seeds {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

func (s *series) play(ctx context.Context, seed uint64) {
	options := s.options.Soak
	options.Seed = seed
	options.WorkDir = filepath.Join(options.WorkDir, strconv.FormatUint(seed, 10))
	result, err := wharfsoak.Run(ctx, options)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed = append(s.failed, seed)
	} else if removed := os.RemoveAll(options.WorkDir); removed != nil {
		s.print("logs of seed %d are left: %v", seed, removed)
	}
	if result == nil {
		s.print("%v", err)
		return
	}
	verdict := "passed"
	if err != nil {
		verdict = "FAILED"
	}
	s.print("seed %d %s after %v: %d requests, %d served, %d refused, %d jobs, %d faults", seed, verdict,
		result.Duration.Round(time.Second), result.Requests, result.Served, result.Refused, result.Jobs, len(result.Faults))
	if cause := s.causes[seed]; cause != "" {
		s.print("  failed before: %s", cause)
	}
	if err == nil {
		return
	}
	text := describe(result)
	s.print("%s", text)
	if written := os.WriteFile(filepath.Join(options.WorkDir, "findings.txt"), []byte(text), fileMode); written != nil {
		s.print("findings of seed %d are not kept: %v", seed, written)
	}
}

// describe returns a run's faults and the promises that were broken, a line each.
func describe(r *wharfsoak.Result) string {
	var lines []string
	for _, event := range r.Faults {
		lines = append(lines, "  fault: "+event)
	}
	for _, finding := range r.Findings {
		lines = append(lines, "  broken: "+finding)
	}
	return strings.Join(lines, "\n")
}

// print writes a line; the lock is held.
func (s *series) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", arguments...) // the verdict is returned too
}

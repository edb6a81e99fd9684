package wharfreport

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"wagtailwharf.example/wharf-load/wharfexperiment"
)

const fileMode = 0o644

// Report holds the results of several experiments in order.
type Report struct {
	results []*wharfexperiment.Result
	byName  map[string]*wharfexperiment.Result
}

// New returns an empty report.
func New() *Report {
	return &Report{byName: map[string]*wharfexperiment.Result{}}
}

// Add appends a result.
func (r *Report) Add(result *wharfexperiment.Result) {
	r.results = append(r.results, result)
	r.byName[result.Name] = result
}

// WriteJSON writes all results to a JSON file.
func (r *Report) WriteJSON(path string) error {
	data, err := json.MarshalIndent(r.results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), fileMode)
}

// target is a bound on a measure of the results, set before any measurement.
type target struct {
	deployment, measure string
	bound               string
	value               func(*Report, string) (float64, bool)
	met                 func(float64) bool
}

func atMost(bound float64) func(float64) bool  { return func(f float64) bool { return f <= bound } }
func atLeast(bound float64) func(float64) bool { return func(f float64) bool { return f >= bound } }

func (r *Report) targets() []target {
	var targets []target
	for _, deployment := range []string{"volta", "floralia"} {
		targets = append(targets,
			target{deployment, "first token p99, steady with batch / alone", "≤ 1.1",
				ratio("steady", "online alone", firstToken), atMost(1.1)},
			target{deployment, "between tokens p99, steady with batch / alone", "≤ 1.1",
				ratio("steady", "online alone", betweenTokens), atMost(1.1)},
			target{deployment, "first token p99, burst with batch / alone", "≤ 1.1",
				ratio("burst", "burst alone", firstToken), atMost(1.1)},
			target{deployment, "between tokens p99, burst with batch / alone", "≤ 1.1",
				ratio("burst", "burst alone", betweenTokens), atMost(1.1)},
			target{deployment, "batch, share of the spare capacity, steady", "≥ 0.9", spareCapacityShare, atLeast(0.9)},
			target{deployment, "worst-served organisation's share of its due, steady", "≥ 0.95",
				worstServed("steady"), atLeast(0.95)},
			target{deployment, "worst-served organisation's share, one at 5 × its rate", "≥ 0.95",
				worstServed("greedy organisation"), atLeast(0.95)},
			target{deployment, "wrongful refusals, steady", "≤ 0.001", wrongfulRefusals("steady"), atMost(0.001)},
		)
	}
	return append(targets,
		target{"volta", "wrongful refusals, a daemon and a worker killed", "≤ 0.01",
			wrongfulRefusals("daemon and worker killed"), atMost(0.01)},
		target{"volta", "wrongful refusals, a daemon frozen past its lease", "≤ 0.01",
			wrongfulRefusals("daemon frozen past its lease"), atMost(0.01)},
		target{
			"volta", "wrongful refusals, platform down", "≤ 0.001", wrongfulRefusals("platform down"), atMost(0.001),
		},
		target{"volta", "wrongful refusals, a zone cut off from the platform", "≤ 0.001",
			wrongfulRefusals("zone cut off from the platform"), atMost(0.001)},
		target{"volta", "engines crashed by a poison request sent again and again", "≤ 3", engineCrashes, atMost(3)},
		target{"volta", "last wrongful refusal after the kill at 6 s, in s", "≤ 5",
			recoveryTime("daemon and worker killed", 6), atMost(5)},
		target{"volta", "last wrongful refusal after the thaw at 14 s, in s", "≤ 5",
			recoveryTime("daemon frozen past its lease", 14), atMost(5)},
	)
}

func firstToken(result *wharfexperiment.Result) float64    { return result.FirstToken.P99 }
func betweenTokens(result *wharfexperiment.Result) float64 { return result.BetweenTokens.P99 }

// ratio returns a function that divides a value of the experiment with by that of the experiment alone. The function
// reports false if either was not run or the divisor is 0.
func ratio(with, alone string, value func(*wharfexperiment.Result) float64) func(*Report, string) (float64, bool) {
	return func(r *Report, deployment string) (float64, bool) {
		a, b := r.byName[deployment+" "+with], r.byName[deployment+" "+alone]
		if a == nil || b == nil || value(b) == 0 {
			return 0, false
		}
		return value(a) / value(b), true
	}
}

// spareCapacityShare returns the share of the spare capacity that batch used: its token rate divided by the rate of the
// same engines with batch alone, less the online token rate.
func spareCapacityShare(r *Report, deployment string) (float64, bool) {
	steady, alone := r.byName[deployment+" steady"], r.byName[deployment+" batch alone"]
	if steady == nil || alone == nil {
		return 0, false
	}
	return steady.BatchTokens / (alone.BatchTokens - steady.OnlineTokens), true
}

func worstServed(name string) func(*Report, string) (float64, bool) {
	return resultValue(name, (*wharfexperiment.Result).WorstServedShare)
}

func wrongfulRefusals(name string) func(*Report, string) (float64, bool) {
	return resultValue(name, (*wharfexperiment.Result).WrongfulRate)
}

// resultValue returns a function for a value of the named experiment, which reports false if it was not run.
func resultValue(name string, value func(*wharfexperiment.Result) float64) func(*Report, string) (float64, bool) {
	return func(r *Report, deployment string) (float64, bool) {
		result := r.byName[deployment+" "+name]
		if result == nil {
			return 0, false
		}
		return value(result), true
	}
}

func engineCrashes(r *Report, deployment string) (float64, bool) {
	return resultValue("poison resent", func(result *wharfexperiment.Result) float64 {
		return float64(result.EngineCrashes)
	})(r, deployment)
}

// recoveryTime returns a function for the seconds from since to the last wrongful refusal, or 0 if that was earlier.
// since counts in seconds from the start of the experiment.
func recoveryTime(name string, since float64) func(*Report, string) (float64, bool) {
	return resultValue(name, func(result *wharfexperiment.Result) float64 {
		return max(0, result.LastWrongfulRefusal-since)
	})
}

// WritePage writes the results as a Markdown page.
func (r *Report) WritePage(path string) error {
	var page strings.Builder
	page.WriteString(introSection)
	page.WriteString("## Targets\n\n| deployment | measure | target | measured | |\n|---|---|---|---|---|\n")
	for _, t := range r.targets() {
		value, measured := t.value(r, t.deployment)
		verdict := "falls short"
		text := fmt.Sprintf("%.4g", value)
		switch {
		case !measured:
			verdict = "not run"
			text = "-"
		case t.met(value):
			verdict = "met"
		}
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s |\n", t.deployment, t.measure, t.bound, text, verdict)
	}
	page.WriteString("\n## Runs\n\nTimes are in milliseconds: p50 / p95 / p99.\n\n")
	page.WriteString("| experiment | first token | between tokens | online tokens/s | batch tokens/s | worst share | wrongful | answered / due | reads/s | row writes/s |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, result := range r.results {
		answered, withinLimit := requestTotals(result)
		fmt.Fprintf(&page, "| %s | %s | %s | %.0f | %.0f | %.3f | %.4f | %d / %d | %.1f | %.1f |\n", result.Name,
			formatQuantiles(result.FirstToken), formatQuantiles(result.BetweenTokens), result.OnlineTokens,
			result.BatchTokens, result.WorstServedShare(), result.WrongfulRate(), answered, withinLimit,
			result.PlatformReads, result.RowWrites)
	}
	page.WriteString(plotsSection)
	return os.WriteFile(path, []byte(page.String()), fileMode)
}

const plotsSection = `
## Plots

![first token](plots/first-token.svg)
![between tokens](plots/between-tokens.svg)
![tokens generated](plots/tokens.svg)
![wrongful refusals](plots/wrongful.svg)
`

const introSection = `# Measurements

Written by ` + "`make measure`" + ` from its own output; nothing here is typed in. The experiments, with their seeds, are
the files of wharf-load/experiments, run in their order on one machine with plain processes on loopback. The latencies
between availability zones and to the clients are those of loopback; none is added.

`

func formatQuantiles(q wharfexperiment.Quantiles) string {
	return fmt.Sprintf("%.1f / %.1f / %.1f", q.P50, q.P95, q.P99)
}

func requestTotals(result *wharfexperiment.Result) (answered, withinLimit int) {
	for _, counts := range result.Organisations {
		answered += counts.Answered
		withinLimit += counts.WithinLimit
	}
	return answered, withinLimit
}

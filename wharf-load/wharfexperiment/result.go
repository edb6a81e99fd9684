package wharfexperiment

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramUnit     = 10 * time.Microsecond
	histogramMax      = time.Minute
	significantDigits = 3
)

// Result holds what callers observed in the measured part of an experiment.
type Result struct {
	Name          string                    `json:"name"`
	Seed          uint64                    `json:"seed"`
	Seconds       float64                   `json:"seconds"`
	Organisations map[string]*RequestCounts `json:"organisations"`
	FirstToken    Quantiles                 `json:"first-token-ms"`
	BetweenTokens Quantiles                 `json:"between-tokens-ms"`
	BatchTokens   float64                   `json:"batch-tokens-per-second"`
	OnlineTokens  float64                   `json:"online-tokens-per-second"`
	// LastWrongfulRefusal is in seconds from the start; 0 means that there was none.
	LastWrongfulRefusal          float64 `json:"last-wrongful-refusal-s"`
	PlatformReads                float64 `json:"platform-reads-per-second"`
	RowWrites                    float64 `json:"platform-row-writes-per-second"`
	EngineCrashes                int64   `json:"engine-crashes"`
	mu                           sync.Mutex
	firstTokenHist, tokenGapHist *hdrhistogram.Histogram
	startedAt                    time.Time
}

// RequestCounts holds the request counts of one organisation.
type RequestCounts struct {
	Sent             int            `json:"sent"`
	Answered         int            `json:"answered"`
	WithinLimit      int            `json:"due"`      // sent within the rate limit, by an exact token bucket
	WrongfullyFailed int            `json:"wrongful"` // refused or failed though within the limit
	Codes            map[string]int `json:"codes"`
}

// Quantiles holds latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func newResult(e *Experiment) *Result {
	return &Result{
		Name:           e.Name,
		Seed:           e.Seed,
		Organisations:  map[string]*RequestCounts{},
		firstTokenHist: hdrhistogram.New(1, int64(histogramMax/histogramUnit), significantDigits),
		tokenGapHist:   hdrhistogram.New(1, int64(histogramMax/histogramUnit), significantDigits),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 {
		return math.Round(
			float64(h.ValueAtQuantile(quantile))*float64(histogramUnit)/float64(time.Millisecond)*100) / 100
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, int64(d/histogramUnit)), int64(histogramMax/histogramUnit)))
}

// WrongfulRate returns the share of the requests within the rate limits that were refused or failed. For an
// organisation that exceeds its rate limit, it counts only by how much the answered requests fall short of what one
// exact token bucket would admit, since which of its requests are refused is then a matter of chance.
func (r *Result) WrongfulRate() float64 {
	withinLimit, wrongful := 0, 0
	for _, counts := range r.Organisations {
		withinLimit += counts.WithinLimit
		wrongful += min(counts.WrongfullyFailed, max(0, counts.WithinLimit-counts.Answered))
	}
	if withinLimit == 0 {
		return 0
	}
	return float64(wrongful) / float64(withinLimit)
}

// WorstServedShare returns the smallest ratio, over all organisations, of answered requests to those within the limit.
func (r *Result) WorstServedShare() float64 {
	worst := 1.0
	for _, counts := range r.Organisations {
		if counts.WithinLimit > 0 {
			worst = min(worst, float64(counts.Answered)/float64(counts.WithinLimit))
		}
	}
	return worst
}

// tokenBucket is an exact global token bucket, which decides whether a request is within an organisation's limit.
type tokenBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Time
}

// take takes one token and reports whether one was available.
func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

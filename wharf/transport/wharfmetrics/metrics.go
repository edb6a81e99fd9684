package wharfmetrics

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Classes of work.
const (
	Online  = "online"
	Batch   = "batch"
	Service = "service"
)

// AllOrganisations is the organisation under which measures are recorded that are not kept per organisation.
const AllOrganisations = "all"

// Measures of a request, each a duration.
const (
	FirstToken    = "first-token"
	BetweenTokens = "between-tokens"
	Total         = "total"
	QueueWait     = "wait"
)

const (
	resolution         = 250 * time.Microsecond
	maxDuration        = 2 * time.Minute
	significantFigures = 1
	quantile50         = 50
	quantile95         = 95
	quantile99         = 99
)

// Metrics holds histograms by organisation, class and measure, and counters by name.
type Metrics struct {
	histograms sync.Map // key → *histogram
	counters   sync.Map // string → *atomic.Int64
}

type key struct {
	organisation, class, measure string
}

type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Summary describes a histogram; durations are in milliseconds.
type Summary struct {
	Organisation string  `json:"organisation"`
	Class        string  `json:"class"`
	Measure      string  `json:"measure"`
	Count        int64   `json:"count"`
	P50          float64 `json:"p50-ms"`
	P95          float64 `json:"p95-ms"`
	P99          float64 `json:"p99-ms"`
	Max          float64 `json:"max-ms"`
}

// New returns empty metrics.
func New() *Metrics {
	return &Metrics{}
}

// Record adds a duration to a histogram. Durations are clamped to the range from 250 µs to 2 minutes.
func (m *Metrics) Record(organisation, class, measure string, d time.Duration) {
	k := key{organisation, class, measure}
	value, ok := m.histograms.Load(k)
	if !ok {
		created := &histogram{values: hdrhistogram.New(1, int64(maxDuration/resolution), significantFigures)}
		value, _ = m.histograms.LoadOrStore(k, created)
	}
	h := value.(*histogram)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(1, int64(d/resolution)), int64(maxDuration/resolution)))
}

// Count increments a counter.
func (m *Metrics) Count(name string) {
	value, ok := m.counters.Load(name)
	if !ok {
		value, _ = m.counters.LoadOrStore(name, new(atomic.Int64))
	}
	value.(*atomic.Int64).Add(1)
}

// Counters returns the values of all counters by name.
func (m *Metrics) Counters() map[string]int64 {
	counters := map[string]int64{}
	m.counters.Range(func(name, value any) bool {
		counters[name.(string)] = value.(*atomic.Int64).Load()
		return true
	})
	return counters
}

// Summaries returns a summary of each histogram.
func (m *Metrics) Summaries() []Summary {
	summaries := []Summary{}
	m.histograms.Range(func(k, value any) bool {
		summaries = append(summaries, value.(*histogram).summary(k.(key)))
		return true
	})
	return summaries
}

func (h *histogram) summary(k key) Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	milliseconds := func(quantile float64) float64 {
		return float64(h.values.ValueAtQuantile(quantile)) * float64(resolution) / float64(time.Millisecond)
	}
	return Summary{
		Organisation: k.organisation,
		Class:        k.class,
		Measure:      k.measure,
		Count:        h.values.TotalCount(),
		P50:          milliseconds(quantile50),
		P95:          milliseconds(quantile95),
		P99:          milliseconds(quantile99),
		Max:          float64(h.values.Max()) * float64(resolution) / float64(time.Millisecond),
	}
}

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

// AllOrganisations stands for all organisations together, where a measure is not kept for each.
const AllOrganisations = "all"

// Measures of a request.
const (
	FirstToken    = "first-token"
	BetweenTokens = "between-tokens"
	Total         = "total"
	QueueWait     = "wait"
)

const (
	unit        = 250 * time.Microsecond
	largest     = 2 * time.Minute
	precision   = 1
	quantileMid = 50
	quantile95  = 95
	quantile99  = 99
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

// Summary is a histogram's figures, in milliseconds.
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

// Record adds a duration to an organisation's histogram.
func (m *Metrics) Record(organisation, class, measure string, d time.Duration) {
	k := key{organisation, class, measure}
	value, ok := m.histograms.Load(k)
	if !ok {
		fresh := &histogram{values: hdrhistogram.New(1, int64(largest/unit), precision)}
		value, _ = m.histograms.LoadOrStore(k, fresh)
	}
	h := value.(*histogram)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(1, int64(d/unit)), int64(largest/unit)))
}

// Count adds one to a counter.
func (m *Metrics) Count(name string) {
	value, ok := m.counters.Load(name)
	if !ok {
		value, _ = m.counters.LoadOrStore(name, new(atomic.Int64))
	}
	value.(*atomic.Int64).Add(1)
}

// Counters returns all counters.
func (m *Metrics) Counters() map[string]int64 {
	counters := map[string]int64{}
	m.counters.Range(func(name, value any) bool {
		counters[name.(string)] = value.(*atomic.Int64).Load()
		return true
	})
	return counters
}

// Summaries returns the figures of all histograms.
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
		return float64(h.values.ValueAtQuantile(quantile)) * float64(unit) / float64(time.Millisecond)
	}
	return Summary{
		Organisation: k.organisation,
		Class:        k.class,
		Measure:      k.measure,
		Count:        h.values.TotalCount(),
		P50:          milliseconds(quantileMid),
		P95:          milliseconds(quantile95),
		P99:          milliseconds(quantile99),
		Max:          float64(h.values.Max()) * float64(unit) / float64(time.Millisecond),
	}
}

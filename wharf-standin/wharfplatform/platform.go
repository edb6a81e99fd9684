package wharfplatform

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharftable"
)

const (
	zoneHeader        = "Wharf-Availability-Zone"
	maxBodyBytes      = 256 << 20
	maxScanRows       = 1000
	weightBytes       = 1 << 20
	weightReadsPerSec = 4
	writesPerSec      = 400
	readsPerSec       = 2000
	burstSecs         = 2
)

// Platform is an HTTP handler that simulates the platform's table, object store, weight store and host list. Faults can
// be injected while it runs.
type Platform struct {
	mux       *http.ServeMux
	table     *wharftable.Table
	mu        sync.Mutex
	faults    Faults
	objects   map[string][]byte
	hostLists []hostList
	writes    *rate.Limiter
	reads     *rate.Limiter
	weights   *rate.Limiter
	counts    Counts
}

// Faults holds the faults that the platform injects. ReplyLossRate is the probability, from 0 to 1, that a call is
// executed but its reply is lost. PartitionedZones lists the availability zones whose calls are rejected.
type Faults struct {
	Down              bool     `json:"down"`
	SlowMillis        int      `json:"slow-ms"`
	ReplyLossRate     float64  `json:"lose-replies"`
	PartitionedZones  []string `json:"cut-availability-zones"`
	HostListLagMillis int      `json:"host-list-lag-ms"`
}

// Counts holds the numbers of calls served so far. Throttled counts the calls that exceeded a rate limit.
type Counts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	RowWrites int64 `json:"row-writes"`
	Conflicts int64 `json:"conflicts"`
	Throttled int64 `json:"throttled"`
	Objects   int64 `json:"objects"`
}

// Host is an entry of the host list; its state is "live" or "leaving".
type Host struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// hostList is a version of the host list and when it was set. Versions are kept to serve a stale list.
type hostList struct {
	at    time.Time
	hosts []Host
}

// New returns an empty platform that allows 400 writes, 2000 reads and 4 weight downloads per second.
func New() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		table:   wharftable.New(),
		objects: map[string][]byte{},
		writes:  rate.NewLimiter(writesPerSec, writesPerSec*burstSecs),
		reads:   rate.NewLimiter(readsPerSec, readsPerSec*burstSecs),
		weights: rate.NewLimiter(weightReadsPerSec, weightReadsPerSec),
	}
	p.mux.HandleFunc("POST /table/commit", p.withFaults(p.writes, p.commit))
	p.mux.HandleFunc("GET /table/row", p.withFaults(p.reads, p.getRow))
	p.mux.HandleFunc("GET /table/scan", p.withFaults(p.reads, p.scanRows))
	p.mux.HandleFunc("PUT /objects/{key...}", p.withFaults(p.writes, p.putObject))
	p.mux.HandleFunc("GET /objects/{key...}", p.withFaults(p.reads, p.getObject))
	p.mux.HandleFunc("GET /weights/{name}", p.withFaults(p.weights, p.getWeights))
	p.mux.HandleFunc("GET /hosts", p.withFaults(p.reads, p.getHosts))
	p.mux.HandleFunc("PUT /hosts", p.putHosts)
	p.mux.HandleFunc("PUT /faults", p.putFaults)
	p.mux.HandleFunc("GET /counts", p.getCounts)
	return p
}

// ServeHTTP serves the platform's API, fault injection and call counts.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults to inject.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Counts returns the numbers of calls served so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) updateCounts(change func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}

// withFaults wraps a handler with the rate limiter and the current faults: it may reject the call, delay it, or execute
// it and drop the reply.
func (p *Platform) withFaults(limiter *rate.Limiter, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := p.currentFaults()
		zone := r.Header.Get(zoneHeader)
		if faults.Down || (zone != "" && slices.Contains(faults.PartitionedZones, zone)) {
			http.Error(w, "platform down", http.StatusServiceUnavailable)
			return
		}
		if !limiter.Allow() {
			p.updateCounts(func(c *Counts) { c.Throttled++ })
			http.Error(w, "over the platform's budget", http.StatusTooManyRequests)
			return
		}
		if faults.SlowMillis > 0 {
			time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
		}
		if faults.ReplyLossRate > 0 && rand.Float64() < faults.ReplyLossRate {
			handler(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		handler(w, r)
	}
}

// discardWriter is an http.ResponseWriter that drops the response.
type discardWriter struct {
	header http.Header
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w *discardWriter) WriteHeader(int)             {}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var commit wharfrow.Commit
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&commit); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := p.table.Commit(commit)
	p.updateCounts(func(c *Counts) {
		c.Writes++
		c.RowWrites += int64(len(commit.Writes))
		if err != nil {
			c.Conflicts++
		}
	})
	if errors.Is(err, wharfrow.ErrConflict) {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *Counts) { c.Reads++ })
	writeJSON(w, p.table.Get(r.URL.Query().Get("key")))
}

func (p *Platform) scanRows(w http.ResponseWriter, r *http.Request) {
	p.updateCounts(func(c *Counts) { c.Reads++ })
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxScanRows {
		limit = maxScanRows
	}
	rows := p.table.Scan(query.Get("prefix"), query.Get("after"), limit)
	if rows == nil {
		rows = []wharfrow.Row{}
	}
	writeJSON(w, rows)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Objects++
	key := r.PathValue("key")
	if _, found := p.objects[key]; found && r.Header.Get("If-None-Match") == "*" {
		http.Error(w, "object exists", http.StatusPreconditionFailed)
		return
	}
	p.objects[key] = data
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counts.Reads++
	data, found := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (p *Platform) getWeights(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, weightBytes))
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-time.Duration(p.faults.HostListLagMillis) * time.Millisecond)
	hosts := []Host{}
	for _, l := range p.hostLists {
		if !l.at.After(cutoff) {
			hosts = l.hosts
		}
	}
	writeJSON(w, hosts)
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLists = append(p.hostLists, hostList{at: time.Now(), hosts: hosts})
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counts())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

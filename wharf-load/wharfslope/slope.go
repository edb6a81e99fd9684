package wharfslope

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"wagtailwharf.example/wharf-load/wharfcaller"
	"wagtailwharf.example/wharf-load/wharfstack"
	"wagtailwharf.example/wharf-standin/wharfplatform"
)

const (
	settleTime          = 3 * time.Second // from readiness to the first sample
	measureWindow       = 8 * time.Second // between the two samples
	clockTicksPerSecond = 100             // unit of the times in /proc/PID/stat
	statFields          = 15              // fields needed of /proc/PID/stat
	utimeField          = 13              // index of utime
	stimeField          = 14              // index of stime
	kibibyte            = 1024
	fileMode            = 0o644
	maxChanges          = 8
)

// Point is the mean cost per daemon at one size.
type Point struct {
	Size          int     `json:"size"`
	CorePercent   float64 `json:"core-percent"`
	Megabytes     float64 `json:"megabytes"`
	BytesPerSec   float64 `json:"peer-bytes-per-second"`
	CallsPerSec   float64 `json:"peer-calls-per-second"`
	PlatformReads float64 `json:"platform-reads-per-second"` // of the whole deployment
	RowWrites     float64 `json:"platform-row-writes-per-second"`
}

// Slope holds a daemon's cost at several sizes of one dimension of the deployment.
type Slope struct {
	Dimension string  `json:"dimension"`
	Command   string  `json:"command"`
	Points    []Point `json:"points"`
}

// Dimension is a parameter by which a deployment grows.
type Dimension struct {
	name      string
	sizes     []int
	configure func(size int, options *wharfstack.Options)
	workload  func(ctx context.Context, s *wharfstack.Stack, size int) error // run during the measurement; may be nil
}

// Name returns the dimension's name.
func (d *Dimension) Name() string {
	return d.name
}

// Dimensions returns all dimensions in the order of the page.
func Dimensions() []Dimension {
	return []Dimension{
		{
			name: "daemons-in-a-zone", sizes: []int{2, 4, 8, 16},
			configure: func(size int, o *wharfstack.Options) { o.DaemonsPerZone = size },
		},
		{
			name: "organisations", sizes: []int{10, 500, 1000, 2000},
			configure: func(size int, o *wharfstack.Options) { o.Organisations = organisations(size) },
		},
		{
			name: "endpoints", sizes: []int{10, 100, 400, 1400},
			configure: func(size int, o *wharfstack.Options) { o.ExtraEndpoints = size },
		},
		{
			name: "open-jobs", sizes: []int{10, 100, 300, 600},
			configure: func(_ int, o *wharfstack.Options) { o.EnginesPerZone = 0 },
			workload:  submitJobs,
		},
		{
			name: "requests-a-second", sizes: []int{5, 10, 20, 40},
			configure: func(_ int, o *wharfstack.Options) { o.Organisations = organisations(2000) },
			workload:  sendRequests,
		},
		{
			name: "configuration-changes", sizes: []int{0, 2, 4, 8},
			configure: func(_ int, o *wharfstack.Options) { o.Organisations = organisations(2000) },
			workload:  applyChanges,
		},
	}
}

func organisations(count int) []wharfstack.Organisation {
	list := make([]wharfstack.Organisation, 0, count)
	for i := range count {
		list = append(list, wharfstack.Organisation{Name: fmt.Sprintf("organisation-%d", i), Rate: 20, Burst: 40})
	}
	return list
}

// Measure starts a deployment for each size of a dimension, with the binaries in the directory bin, and returns the
// costs. It writes a line to progress for each size.
func Measure(ctx context.Context, d Dimension, bin string, progress io.Writer) (*Slope, error) {
	slope := &Slope{Dimension: d.name, Command: "bin/wharf-load slopes --dimension " + d.name}
	for _, size := range d.sizes {
		point, err := measure(ctx, d, size, bin)
		if err != nil {
			return nil, fmt.Errorf("%s at %d: %w", d.name, size, err)
		}
		_, _ = fmt.Fprintf(progress, "%s %+v\n", d.name, *point)
		slope.Points = append(slope.Points, *point)
	}
	return slope, nil
}

func measure(ctx context.Context, d Dimension, size int, bin string) (*Point, error) {
	dir, err := os.MkdirTemp("", "wharf-slope-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	options := wharfstack.Options{
		BinDir: bin, WorkDir: dir, Zones: []string{"zone-a"}, Region: "region", DaemonsPerZone: 3, EnginesPerZone: 1,
		Slots: 16, TokenTime: 5 * time.Millisecond, Service: "model", Organisations: organisations(10),
		LeaseTerm: 4 * time.Second, Headroom: 0.25,
	}
	d.configure(size, &options)
	stack, err := wharfstack.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	defer stack.Stop()
	time.Sleep(settleTime)
	before, err := takeSample(stack)
	if err != nil {
		return nil, err
	}
	if d.workload != nil {
		if err := d.workload(ctx, stack, size); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(before.at.Add(measureWindow)))
	after, err := takeSample(stack)
	if err != nil {
		return nil, err
	}
	return costBetween(size, before, after, len(stack.Daemons)), nil
}

// sample holds counters summed over all daemons at one moment.
type sample struct {
	at        time.Time
	cpu       time.Duration
	memory    int64
	peerBytes int64
	peerCalls int64
	platform  wharfplatform.Counts
}

func takeSample(stack *wharfstack.Stack) (*sample, error) {
	s := &sample{at: time.Now()}
	for _, d := range stack.Daemons {
		cpu, err := cpuTime(d.PID())
		if err != nil {
			return nil, err
		}
		memory, err := residentBytes(d.PID())
		if err != nil {
			return nil, err
		}
		var vars struct {
			In    int64 `json:"peer-bytes-in"`
			Out   int64 `json:"peer-bytes-out"`
			Calls int64 `json:"peer-calls"`
		}
		if err := fetchJSON(d.OperatorURL+"/debug/vars", stack.OperatorTokenFile, &vars); err != nil {
			return nil, err
		}
		s.cpu += cpu
		s.memory += memory
		s.peerBytes += vars.In + vars.Out
		s.peerCalls += vars.Calls
	}
	return s, fetchJSON(stack.Platform.URL+"/counts", stack.OperatorTokenFile, &s.platform)
}

func fetchJSON(url, tokenFile string, value any) error {
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(value)
}

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < statFields {
		return 0, io.ErrUnexpectedEOF
	}
	user, err := strconv.ParseInt(fields[utimeField], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[stimeField], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, err
}

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) (int64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		rest, found := strings.CutPrefix(scanner.Text(), "VmRSS:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		return kilobytes * kibibyte, err
	}
	return 0, io.ErrUnexpectedEOF
}

// costBetween returns the mean cost per daemon between two samples.
func costBetween(size int, before, after *sample, daemons int) *Point {
	seconds := after.at.Sub(before.at).Seconds()
	daemonSeconds := seconds * float64(daemons)
	return &Point{
		Size:          size,
		CorePercent:   100 * (after.cpu - before.cpu).Seconds() / daemonSeconds,
		Megabytes:     float64(after.memory) / float64(daemons) / kibibyte / kibibyte,
		BytesPerSec:   float64(after.peerBytes-before.peerBytes) / daemonSeconds,
		CallsPerSec:   float64(after.peerCalls-before.peerCalls) / daemonSeconds,
		PlatformReads: float64(after.platform.Reads-before.platform.Reads) / seconds,
		RowWrites:     float64(after.platform.RowWrites-before.platform.RowWrites) / seconds,
	}
}

// submitJobs submits size jobs, which stay open since their service has no endpoint.
func submitJobs(ctx context.Context, s *wharfstack.Stack, size int) error {
	c := &wharfcaller.Caller{BaseURL: s.Daemons[0].URL, Key: s.Keys["organisation-0"], Client: http.DefaultClient}
	file, err := c.UploadFile(ctx, wharfcaller.BatchInput(s.Options.Service, "case", 8, 4))
	if err != nil {
		return err
	}
	for i := range size {
		if _, err := c.CreateBatch(ctx, file, fmt.Sprint("job-", i)); err != nil {
			return err
		}
	}
	return nil
}

// sendRequests sends size short requests per second through each daemon, cycling through the organisations.
func sendRequests(ctx context.Context, s *wharfstack.Stack, size int) error {
	ctx, cancel := context.WithTimeout(ctx, measureWindow-time.Second)
	defer cancel()
	var senders sync.WaitGroup
	for number, d := range s.Daemons {
		senders.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(size))
			defer ticker.Stop()
			for i := number; ctx.Err() == nil; i += len(s.Daemons) {
				name := s.Options.Organisations[i%len(s.Options.Organisations)].Name
				c := &wharfcaller.Caller{BaseURL: d.URL, Key: s.Keys[name], Client: http.DefaultClient}
				_, _ = c.Chat(ctx, s.Options.Service, "hello", 1, false)
				<-ticker.C
			}
		})
	}
	senders.Wait()
	return nil
}

// applyChanges applies up to maxChanges configuration changes in sequence; each adds one API key.
func applyChanges(ctx context.Context, s *wharfstack.Stack, size int) error {
	for i := range min(size, maxChanges) {
		if _, err := s.CLI(ctx, "key", "create", s.BundleFile, "--organisation", "organisation-0",
			"--id", fmt.Sprint("extra-", i)); err != nil {
			return err
		}
		if err := s.ApplyBundle(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Fit returns the least-squares estimate of the cost at size 0 and of its growth per unit of size.
func (s *Slope) Fit(value func(Point) float64) (base, growth float64) {
	sizes := make([]float64, 0, len(s.Points))
	costs := make([]float64, 0, len(s.Points))
	for _, p := range s.Points {
		sizes = append(sizes, float64(p.Size))
		costs = append(costs, value(p))
	}
	return stat.LinearRegression(sizes, costs, nil, false)
}

// WriteJSON writes slopes to a JSON file.
func WriteJSON(path string, slopes []*Slope) error {
	data, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), fileMode)
}

// WritePage writes the points and their linear fits as a Markdown page.
func WritePage(path string, slopes []*Slope) error {
	var page strings.Builder
	page.WriteString(introSection)
	for _, s := range slopes {
		fmt.Fprintf(&page, "## %s\n\n`%s`\n\n", s.Dimension, s.Command)
		page.WriteString("| size | core % | MB | peer bytes/s | peer calls/s | platform reads/s (all) | row writes/s (all) |\n|---|---|---|---|---|---|---|\n")
		for _, p := range s.Points {
			fmt.Fprintf(&page, "| %d | %.2f | %.1f | %.0f | %.1f | %.1f | %.1f |\n", p.Size, p.CorePercent, p.Megabytes,
				p.BytesPerSec, p.CallsPerSec, p.PlatformReads, p.RowWrites)
		}
		page.WriteString(s.formatFits())
	}
	return os.WriteFile(path, []byte(page.String()), fileMode)
}

const introSection = `# Slopes

Written by ` + "`bin/wharf-load slopes`" + `; nothing here is typed in. Each row is the cost of one daemon, without traffic, on average
over the daemons of one availability zone in a window of eight seconds; docs/CAPACITY.md works with the fits.

`

// formatFits returns a line with the linear fits of the costs.
func (s *Slope) formatFits() string {
	var text strings.Builder
	text.WriteString("\nFits, base + growth × size:")
	for _, f := range []struct {
		name  string
		value func(Point) float64
	}{
		{"core %", func(p Point) float64 { return p.CorePercent }},
		{"MB", func(p Point) float64 { return p.Megabytes }},
		{"peer bytes/s", func(p Point) float64 { return p.BytesPerSec }},
		{"platform reads/s", func(p Point) float64 { return p.PlatformReads }},
	} {
		base, growth := s.Fit(f.value)
		fmt.Fprintf(&text, " %s %.3g + %.3g × size;", f.name, base, growth)
	}
	return strings.TrimSuffix(text.String(), ";") + ".\n\n"
}

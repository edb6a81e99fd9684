package wharftrace

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfprinter"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	ID      string
	// Window extends the time range of the matching entries at both ends. State changes that the same hosts logged
	// within it are selected too. 0 selects none.
	Window time.Duration
	JSON   bool
}

// New returns the "log trace" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the log lines of a request, a batch job or an item from all hosts in chronological order",
		ArgsUsage: "ID",
		UsageText: "cat host-*.log | wagtailwharf log trace 9c41d07be2a35f68\n   cat host-*.log | wagtailwharf log trace 9c41d07be2a35f68 --around 2s",
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name: "around", Usage: "also print the state changes of the involved hosts within `TIME` of it",
			},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{
				Streams: f.Streams, ID: c.Args().First(), Window: c.Duration("around"), JSON: c.Bool("json"),
			})
		},
	}
}

// Entry is one parsed line of a host's log.
type Entry struct {
	Time   time.Time      `json:"time"`
	Host   string         `json:"host"`
	Event  string         `json:"event"`
	Fields map[string]any `json:"fields"`
}

// Run reads the hosts' logs from standard input and prints the entries of one ID in chronological order.
func Run(options *Options) error {
	if options.ID == "" {
		return wharfexit.UsageError("no ID given",
			"give the ID of a request, a batch job or an item: cat host-*.log | wagtailwharf log trace ID")
	}
	entries, skipped, err := readEntries(options)
	if err != nil {
		return wharfexit.New(wharfexit.Failure, err, "pass the hosts' logs on standard input")
	}
	if skipped > 0 {
		_, _ = fmt.Fprintf(options.Streams.Err, "skipped %d lines that are not log entries\n", skipped)
	}
	selected := selectEntries(entries, options)
	if len(selected) == 0 {
		return wharfexit.New(wharfexit.Failure, fmt.Errorf("no log entry found for ID %q", options.ID),
			"check the ID, and that the logs cover its time")
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, selected)
	}
	rows := make([][]string, 0, len(selected))
	for _, entry := range selected {
		rows = append(rows,
			[]string{entry.Time.Format("15:04:05.000"), entry.Host, entry.Event, formatFields(entry.Fields)})
	}
	return wharfprinter.Table(options.Streams, []string{"time", "host", "event", "details"}, rows)
}

// readEntries returns the parsed log entries and the number of lines that could not be parsed.
func readEntries(options *Options) (entries []Entry, skipped int, err error) {
	scanner := bufio.NewScanner(options.Streams.In)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		entry, ok := parseEntry(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		entries = append(entries, entry)
	}
	return entries, skipped, scanner.Err()
}

// parseEntry parses one line of JSON and reports whether it is a log entry with a time and a message.
func parseEntry(text []byte) (Entry, bool) {
	var fields map[string]any
	if err := json.Unmarshal(bytes.TrimSpace(text), &fields); err != nil {
		return Entry{}, false
	}
	entry := Entry{Fields: fields}
	timestamp, _ := fields["time"].(string)
	entry.Host, _ = fields["host"].(string)
	entry.Event, _ = fields["msg"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil || entry.Event == "" {
		return Entry{}, false
	}
	entry.Time = at
	for _, name := range []string{"time", "host", "msg", "level", "availability-zone"} {
		delete(fields, name)
	}
	return entry, true
}

// matches reports whether the entry belongs to the request, item or batch job with the given ID.
func (e *Entry) matches(id string) bool {
	return e.Fields["request-id"] == id || e.Fields["job"] == id
}

// isStateChange reports whether the entry records a state change of the host rather than a request or a job.
func (e *Entry) isStateChange() bool {
	return e.Fields["request-id"] == nil && e.Fields["job"] == nil
}

// selectEntries returns the entries that match the ID and, within the window, the state changes of the hosts that
// logged them, sorted by time.
func selectEntries(entries []Entry, options *Options) []Entry {
	var selected []Entry
	hosts := map[string]bool{}
	var first, last time.Time
	for _, entry := range entries {
		if !entry.matches(options.ID) {
			continue
		}
		selected = append(selected, entry)
		hosts[entry.Host] = true
		if first.IsZero() || entry.Time.Before(first) {
			first = entry.Time
		}
		if entry.Time.After(last) {
			last = entry.Time
		}
	}
	if options.Window > 0 {
		for _, entry := range entries {
			inWindow := !entry.Time.Before(first.Add(-options.Window)) && !entry.Time.After(last.Add(options.Window))
			if inWindow && hosts[entry.Host] && entry.isStateChange() {
				selected = append(selected, entry)
			}
		}
	}
	slices.SortStableFunc(selected, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return selected
}

// formatFields formats fields as name=value pairs, sorted by name.
func formatFields(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}

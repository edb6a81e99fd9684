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

// maxLineBytes is the longest log line in bytes that is read.
const maxLineBytes = 1 << 20

// Options are what the command was asked for.
type Options struct {
	Streams *wharfstreams.Streams
	ID      string
	Window  time.Duration // of changes of belief before the first and after the last line of the request
	JSON    bool
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print what all hosts logged of a request, a batch job or an item, in the order of time",
		ArgsUsage: "ID",
		UsageText: "cat host-*.log | wagtailwharf log trace 9c41d07be2a35f68\n   cat host-*.log | wagtailwharf log trace 9c41d07be2a35f68 --around 2s",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "around", Usage: "also print what its hosts came to believe within `TIME` of it"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{Streams: f.Streams, ID: c.Args().First(), Window: c.Duration("around"), JSON: c.Bool("json")})
		},
	}
}

// Entry is one line of a host's log.
type Entry struct {
	Time   time.Time      `json:"time"`
	Host   string         `json:"host"`
	Event  string         `json:"event"`
	Fields map[string]any `json:"fields"`
}

// Run prints the lines that name an id.
func Run(options *Options) error {
	if options.ID == "" {
		return wharfexit.UsageError("no id is given", "give the id of a request, a batch job or an item: cat host-*.log | wagtailwharf log trace ID")
	}
	entries, skipped, err := readEntries(options)
	if err != nil {
		return wharfexit.New(wharfexit.Failure, err, "pass the hosts' logs on standard input")
	}
	if skipped > 0 {
		_, _ = fmt.Fprintf(options.Streams.Err, "%d lines are no log lines and were passed over\n", skipped)
	}
	selected := selectEntries(entries, options)
	if len(selected) == 0 {
		return wharfexit.New(wharfexit.Failure, fmt.Errorf("no line names %q", options.ID), "check the id, and that the logs cover its time")
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, selected)
	}
	rows := make([][]string, 0, len(selected))
	for _, entry := range selected {
		rows = append(rows, []string{entry.Time.Format("15:04:05.000"), entry.Host, entry.Event, formatFields(entry.Fields)})
	}
	return wharfprinter.Table(options.Streams, []string{"time", "host", "event", "details"}, rows)
}

// readEntries returns the lines of the logs and the number of those that are none.
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

// matches reports whether a line is about an id.
func (e *Entry) matches(id string) bool {
	return e.Fields["request-id"] == id || e.Fields["job"] == id
}

// isStateChange reports whether a line tells of a change of belief, not of a request.
func (e *Entry) isStateChange() bool {
	return e.Fields["request-id"] == nil && e.Fields["job"] == nil
}

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

func formatFields(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}

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

// longestLine is the longest log line in bytes that is read.
const longestLine = 1 << 20

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
	lines, unread, err := read(options)
	if err != nil {
		return wharfexit.New(wharfexit.Failure, err, "pass the hosts' logs on standard input")
	}
	if unread > 0 {
		_, _ = fmt.Fprintf(options.Streams.Err, "%d lines are no log lines and were passed over\n", unread)
	}
	chosen := choose(lines, options)
	if len(chosen) == 0 {
		return wharfexit.New(wharfexit.Failure, fmt.Errorf("no line names %q", options.ID), "check the id, and that the logs cover its time")
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, chosen)
	}
	rows := make([][]string, 0, len(chosen))
	for _, line := range chosen {
		rows = append(rows, []string{line.Time.Format("15:04:05.000"), line.Host, line.Event, describe(line.Fields)})
	}
	return wharfprinter.Table(options.Streams, []string{"time", "host", "event", "details"}, rows)
}

// read returns the lines of the logs and the number of those that are none.
func read(options *Options) (lines []Entry, unread int, err error) {
	scanner := bufio.NewScanner(options.Streams.In)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			unread++
			continue
		}
		lines = append(lines, line)
	}
	return lines, unread, scanner.Err()
}

func parse(text []byte) (Entry, bool) {
	var fields map[string]any
	if err := json.Unmarshal(bytes.TrimSpace(text), &fields); err != nil {
		return Entry{}, false
	}
	line := Entry{Fields: fields}
	stamp, _ := fields["time"].(string)
	line.Host, _ = fields["host"].(string)
	line.Event, _ = fields["msg"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || line.Event == "" {
		return Entry{}, false
	}
	line.Time = at
	for _, name := range []string{"time", "host", "msg", "level", "availability-zone"} {
		delete(fields, name)
	}
	return line, true
}

// names reports whether a line is about an id.
func (l *Entry) names(id string) bool {
	return l.Fields["request-id"] == id || l.Fields["job"] == id
}

// believes reports whether a line tells of a change of belief, not of a request.
func (l *Entry) believes() bool {
	return l.Fields["request-id"] == nil && l.Fields["job"] == nil
}

func choose(lines []Entry, options *Options) []Entry {
	var chosen []Entry
	hosts := map[string]bool{}
	var first, last time.Time
	for _, line := range lines {
		if !line.names(options.ID) {
			continue
		}
		chosen = append(chosen, line)
		hosts[line.Host] = true
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	if options.Window > 0 {
		for _, line := range lines {
			near := !line.Time.Before(first.Add(-options.Window)) && !line.Time.After(last.Add(options.Window))
			if near && hosts[line.Host] && line.believes() {
				chosen = append(chosen, line)
			}
		}
	}
	slices.SortStableFunc(chosen, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return chosen
}

func describe(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}

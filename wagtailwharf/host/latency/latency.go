package wharflatency

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfprinter"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	JSON    bool
}

// New returns the "host latency" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "latency",
		Usage:     "show a host's latency quantiles by organisation and class",
		UsageText: "wagtailwharf host latency",
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, JSON: c.Bool("json")})
		}),
	}
}

// Run prints the latency quantiles in milliseconds, sorted by organisation, class and measure.
func Run(ctx context.Context, options *Options) error {
	var summaries []wharfmetrics.Summary
	if err := options.Client.JSON(ctx, http.MethodGet, "/v1/latencies", nil, nil, &summaries); err != nil {
		return err
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, summaries)
	}
	slices.SortFunc(summaries, func(a, b wharfmetrics.Summary) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Measure, b.Measure))
	})
	var rows [][]string
	for _, s := range summaries {
		rows = append(rows, []string{s.Organisation, s.Class, s.Measure, fmt.Sprint(s.Count),
			fmt.Sprintf("%.1f", s.P50), fmt.Sprintf("%.1f", s.P95), fmt.Sprintf("%.1f", s.P99),
			fmt.Sprintf("%.1f", s.Max)})
	}
	return wharfprinter.Table(options.Streams,
		[]string{"organisation", "class", "measure", "count", "p50 ms", "p95 ms", "p99 ms", "max ms"}, rows)
}

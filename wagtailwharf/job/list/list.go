package wharflist

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/job/wharfbatches"
	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	After   string
	Limit   int
	JSON    bool
}

// New returns the "job list" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "list",
		Usage:     "list the batch jobs of the key's organisation, oldest first",
		ArgsUsage: "",
		UsageText: "wagtailwharf job list --limit 50",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "after", Usage: "list jobs after `JOB`"},
			&cli.IntFlag{Name: "limit", Value: 20, Usage: "list at most `COUNT` jobs, up to 100"},
		},
		Action: f.CallerAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{
				Streams: f.Streams, Client: client, After: c.String("after"), Limit: c.Int("limit"),
				JSON: c.Bool("json"),
			})
		}),
	}
}

// Run prints one page of jobs.
func Run(ctx context.Context, options *Options) error {
	var page struct {
		Data []wharfbatches.Batch `json:"data"`
	}
	path := fmt.Sprintf("/v1/batches?limit=%d&after=%s", options.Limit, url.QueryEscape(options.After))
	if err := options.Client.JSON(ctx, http.MethodGet, path, nil, nil, &page); err != nil {
		return err
	}
	return wharfbatches.Print(options.Streams, options.JSON, page.Data...)
}

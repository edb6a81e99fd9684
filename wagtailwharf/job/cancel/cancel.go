package wharfcancel

import (
	"context"
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
	ID      string
	JSON    bool
}

// New returns the "job cancel" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a batch job",
		ArgsUsage: "JOB",
		UsageText: "wagtailwharf job cancel JOB",
		Action: f.CallerAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, ID: c.Args().First(), JSON: c.Bool("json")})
		}),
	}
}

// Run cancels the job and prints it. No further item of the job completes afterwards.
func Run(ctx context.Context, options *Options) error {
	var batch wharfbatches.Batch
	if err := options.Client.JSON(ctx, http.MethodPost, "/v1/batches/"+url.PathEscape(options.ID)+"/cancel", nil, struct{}{},
		&batch); err != nil {
		return err
	}
	return wharfbatches.Print(options.Streams, options.JSON, batch)
}

package wharfstatus

import (
	"context"

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

// New returns the "job status" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show a batch job",
		ArgsUsage: "JOB",
		UsageText: "wagtailwharf job status JOB",
		Action: f.CallerAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, ID: c.Args().First(), JSON: c.Bool("json")})
		}),
	}
}

// Run prints the status and item counts of the job.
func Run(ctx context.Context, options *Options) error {
	batch, err := wharfbatches.Get(ctx, options.Client, options.ID)
	if err != nil {
		return err
	}
	return wharfbatches.Print(options.Streams, options.JSON, *batch)
}

package wharfwatch

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/job/wharfbatches"
	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	ID      string
	Period  time.Duration
	JSON    bool
}

// New returns the "job watch" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "wait for a batch job to end",
		ArgsUsage: "JOB",
		UsageText: "wagtailwharf job watch JOB",
		Flags:     []cli.Flag{&cli.DurationFlag{Name: "period", Value: time.Second, Usage: "poll every `DURATION`"}},
		Action: f.CallerAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{
				Streams: f.Streams, Client: client, ID: c.Args().First(), Period: c.Duration("period"),
				JSON: c.Bool("json"),
			})
		}),
	}
}

// Run polls the job until it has ended and prints it. Progress goes to standard error.
func Run(ctx context.Context, options *Options) error {
	if options.Period <= 0 {
		return wharfexit.UsageError("--period must be longer than 0", "give a duration such as 1s")
	}
	ticker := time.NewTicker(options.Period)
	defer ticker.Stop()
	for {
		batch, err := wharfbatches.Get(ctx, options.Client, options.ID)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(options.Streams.Err, "%s: %d of %d items\n",
			batch.Status, batch.Counts.Completed+batch.Counts.Failed, batch.Counts.Total)
		if batch.Ended() {
			return wharfbatches.Print(options.Streams, options.JSON, *batch)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

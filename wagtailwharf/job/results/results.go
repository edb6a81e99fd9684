package wharfresults

import (
	"context"
	"errors"
	"io"
	"net/http"

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
	Errors  bool
}

// New returns the "job results" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "results",
		Usage:     "print the results of a batch job that has ended",
		ArgsUsage: "JOB",
		UsageText: "wagtailwharf job results JOB > answers.jsonl",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "errors", Usage: "print the failed items instead"}},
		Action: f.CallerAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx,
				&Options{Streams: f.Streams, Client: client, ID: c.Args().First(), Errors: c.Bool("errors")})
		}),
	}
}

var errStillRunning = errors.New("the job has not ended")

// Run prints the job's output file, or its error file if Errors is set. It returns an error if the job has not ended.
func Run(ctx context.Context, options *Options) error {
	batch, err := wharfbatches.Get(ctx, options.Client, options.ID)
	if err != nil {
		return err
	}
	if !batch.Ended() {
		return wharfexit.New(wharfexit.Failure, errStillRunning, "wait for it with: wagtailwharf job watch "+options.ID)
	}
	file := batch.OutputFileID
	if options.Errors {
		file = batch.ErrorFileID
	}
	if file == nil {
		return nil
	}
	response, err := options.Client.Do(ctx, wharfclient.Call{
		Method: http.MethodGet, Path: "/v1/files/" + *file + "/content",
	})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(options.Streams.Out, response.Body)
	return err
}

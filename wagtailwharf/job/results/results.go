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

// Options are what the command was asked for.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	ID      string
	Errors  bool
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "results",
		Usage:     "print the results of a job that has ended",
		ArgsUsage: "JOB",
		UsageText: "wagtailwharf job results JOB > answers.jsonl",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "errors", Usage: "print the items that failed instead"}},
		Action: f.CallerAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, ID: c.Args().First(), Errors: c.Bool("errors")})
		}),
	}
}

var errStillRunning = errors.New("the job has not ended")

// Run prints the lines of the output file, or of the error file.
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
	response, err := options.Client.Do(ctx, wharfclient.Call{Method: http.MethodGet, Path: "/v1/files/" + *file + "/content"})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(options.Streams.Out, response.Body)
	return err
}

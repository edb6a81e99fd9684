package wharfdrain

import (
	"context"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
}

// New returns the "host drain" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "gracefully shut down the host at --operators",
		UsageText: "wagtailwharf --operators http://10.0.3.7:7002 host drain",
		Action: f.OperatorAction(func(ctx context.Context, _ *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client})
		}),
	}
}

// Run returns once the host has started to drain.
func Run(ctx context.Context, options *Options) error {
	if err := options.Client.JSON(ctx, http.MethodPost, "/v1/hosts/drain", nil, struct{}{}, nil); err != nil {
		return err
	}
	_, err := fmt.Fprintln(options.Streams.Out, "the host accepts no new work and stops when in-flight work has ended")
	return err
}

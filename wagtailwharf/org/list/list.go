package wharflist

import (
	"context"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfprinter"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

// Options are what the command was asked for.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	JSON    bool
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "list",
		Usage:     "list the organisations in force",
		UsageText: "wagtailwharf org list",
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, JSON: c.Bool("json")})
		}),
	}
}

// Run prints the organisations with their rates, bursts and weights.
func Run(ctx context.Context, options *Options) error {
	var present wharfoperator.ExportedConfiguration
	if err := options.Client.JSON(ctx, http.MethodGet, "/v1/config", nil, nil, &present); err != nil {
		return err
	}
	bundle, err := wharfconfig.Parse(present.Text)
	if err != nil {
		return err
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, bundle.Organisations)
	}
	var rows [][]string
	for _, o := range bundle.Organisations {
		rows = append(rows, []string{o.Name, fmt.Sprint(o.Rate), fmt.Sprint(o.Burst), fmt.Sprint(o.Weight)})
	}
	return wharfprinter.Table(options.Streams, []string{"organisation", "rate/s", "burst", "weight"}, rows)
}

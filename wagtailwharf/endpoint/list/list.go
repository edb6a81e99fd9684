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
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	JSON    bool
}

// New returns the "endpoint list" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "list",
		Usage:     "list the endpoints as seen by the queried host",
		UsageText: "wagtailwharf endpoint list",
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, JSON: c.Bool("json")})
		}),
	}
}

// Run prints the endpoints. The running requests are those of the queried host only.
func Run(ctx context.Context, options *Options) error {
	var endpoints []wharfoperator.EndpointStatus
	if err := options.Client.JSON(ctx, http.MethodGet, "/v1/endpoints", nil, nil, &endpoints); err != nil {
		return err
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, endpoints)
	}
	var rows [][]string
	for _, e := range endpoints {
		rows = append(rows, []string{
			e.Name, e.Service, e.Zone, e.URL, fmt.Sprint(e.Slots), fmt.Sprint(e.Running), fmt.Sprint(e.Ejected),
		})
	}
	return wharfprinter.Table(options.Streams,
		[]string{"endpoint", "service", "availability zone", "url", "slots", "running", "ejected"}, rows)
}

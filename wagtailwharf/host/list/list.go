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

// New returns the "host list" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "list",
		Usage:     "list the hosts of all availability zones",
		UsageText: "wagtailwharf host list",
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, JSON: c.Bool("json")})
		}),
	}
}

// Run prints the registered hosts with their epochs and addresses, and whether the queried host considers them live.
func Run(ctx context.Context, options *Options) error {
	var hosts []wharfoperator.HostStatus
	if err := options.Client.JSON(ctx, http.MethodGet, "/v1/hosts", nil, nil, &hosts); err != nil {
		return err
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, hosts)
	}
	var rows [][]string
	for _, h := range hosts {
		rows = append(rows, []string{
			h.Host, h.Zone, fmt.Sprint(h.Epoch), h.Caller.String(), h.Peer.String(), fmt.Sprint(h.Live),
		})
	}
	return wharfprinter.Table(options.Streams,
		[]string{"host", "availability zone", "epoch", "callers", "peers", "heard by the asked host"}, rows)
}

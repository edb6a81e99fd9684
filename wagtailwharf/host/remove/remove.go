package wharfremove

import (
	"context"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	Zone    string
	Host    string
}

// New returns the "host remove" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "remove",
		Usage:     "remove the registration of a host that is permanently down and that its zone cannot reclaim",
		ArgsUsage: "HOST",
		UsageText: "wagtailwharf host remove entry-7 --availability-zone gh-south-a",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "availability-zone", Usage: "availability `ZONE` of the host", Required: true},
		},
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{
				Streams: f.Streams, Client: client, Zone: c.String("availability-zone"), Host: c.Args().First(),
			})
		}),
	}
}

// Run removes the registration of the host. The caller must make sure that the host is down.
func Run(ctx context.Context, options *Options) error {
	request := wharfoperator.RemoveRequest{Zone: options.Zone, Host: options.Host}
	if err := options.Client.JSON(ctx, http.MethodPost, "/v1/hosts/remove", nil, request, nil); err != nil {
		return err
	}
	_, err := fmt.Fprintf(options.Streams.Out, "%s was removed from availability zone %s\n", options.Host, options.Zone)
	return err
}

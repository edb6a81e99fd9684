package wharfstatus

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfprinter"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	JSON    bool
}

// New returns the "config status" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show the configuration version in force on each host",
		UsageText: "wagtailwharf config status",
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, JSON: c.Bool("json")})
		}),
	}
}

// Run prints the version in force on each host, or 0 for a host that did not answer.
func Run(ctx context.Context, options *Options) error {
	var versions map[string]uint64
	if err := options.Client.JSON(ctx, http.MethodGet, "/v1/config/status", nil, nil, &versions); err != nil {
		return err
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, versions)
	}
	var rows [][]string
	for _, host := range slices.Sorted(maps.Keys(versions)) {
		rows = append(rows, []string{host, fmt.Sprint(versions[host])})
	}
	return wharfprinter.Table(options.Streams, []string{"host", "version"}, rows)
}

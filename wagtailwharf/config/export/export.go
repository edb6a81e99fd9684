package wharfexport

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	Out     string
}

// New returns the "config export" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "export",
		Usage:     "write the exact text of the configuration in force",
		UsageText: "wagtailwharf config export --out bundle.toml",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "out", Usage: "`FILE` for the bundle (default: standard output)"}},
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, Out: c.String("out")})
		}),
	}
}

const fileMode = 0o644

var errNoConfiguration = errors.New("no configuration is in force")

// Run writes the bundle to a file or standard output and its version and hash to standard error.
func Run(ctx context.Context, options *Options) error {
	var current wharfoperator.ExportedConfiguration
	if err := options.Client.JSON(ctx, http.MethodGet, "/v1/config", nil, nil, &current); err != nil {
		return err
	}
	if current.Version == 0 {
		return wharfexit.New(wharfexit.Failure, errNoConfiguration, "apply one with: wagtailwharf config apply FILE")
	}
	_, _ = fmt.Fprintf(options.Streams.Err, "version %d, hash %s\n", current.Version, current.Hash)
	if options.Out != "" {
		return os.WriteFile(options.Out, current.Text, fileMode)
	}
	_, err := options.Streams.Out.Write(current.Text)
	return err
}

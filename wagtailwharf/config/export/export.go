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

// Options are what the command was asked for.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	Out     string
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "export",
		Usage:     "write the configuration in force, byte for byte",
		UsageText: "wagtailwharf config export --out bundle.toml",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "out", Usage: "`FILE` for the bundle (default: standard output)"}},
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, Out: c.String("out")})
		}),
	}
}

const fileMode = 0o644

var errNone = errors.New("no configuration is in force")

// Run writes the bundle and prints its hash to the error stream.
func Run(ctx context.Context, options *Options) error {
	var present wharfoperator.ExportedConfiguration
	if err := options.Client.JSON(ctx, http.MethodGet, "/v1/config", nil, nil, &present); err != nil {
		return err
	}
	if present.Version == 0 {
		return wharfexit.New(wharfexit.Failure, errNone, "apply one with config apply")
	}
	_, _ = fmt.Fprintf(options.Streams.Err, "version %d, hash %s\n", present.Version, present.Hash)
	if options.Out != "" {
		return os.WriteFile(options.Out, present.Text, fileMode)
	}
	_, err := options.Streams.Out.Write(present.Text)
	return err
}

package wharforder

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfbundle"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams      *wharfstreams.Streams
	File         string
	Service      string
	ModelVersion string
}

// New returns the "endpoint order" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "order",
		Usage:     "set the model version of a service in a bundle file; takes effect when applied",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf endpoint order bundle.toml --service solver-assist --model-version 8",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.StringFlag{
				Name: "model-version", Usage: "model `VERSION` for the service's endpoints", Required: true,
			},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{
				Streams: f.Streams, File: c.Args().First(), Service: c.String("service"),
				ModelVersion: c.String("model-version"),
			})
		},
	}
}

// Run sets the model version in the bundle file. The change takes effect once the bundle is signed and applied.
func Run(options *Options) error {
	text, _, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	changed, err := wharfbundle.SetField(text, "service", options.Service, "model-version", options.ModelVersion)
	if err != nil {
		return wharfexit.New(wharfexit.Usage, err, "give the name of a service in the bundle")
	}
	if err := wharfbundle.Write(options.File, changed); err != nil {
		return err
	}
	_, err = fmt.Fprintf(options.Streams.Out, "model version of %s set to %s; sign and apply %s\n",
		options.Service, options.ModelVersion, options.File)
	return err
}

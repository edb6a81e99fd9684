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

// Options are what the command was asked for.
type Options struct {
	Streams *wharfstreams.Streams
	File    string
	Service string
	Version string
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "order",
		Usage:     "set the model version of a service in a bundle file; applied, it is ordered from every endpoint",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf endpoint order bundle.toml --service solver-assist --model-version 8",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.StringFlag{Name: "model-version", Usage: "`VERSION` that its endpoints are to run", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{Streams: f.Streams, File: c.Args().First(), Service: c.String("service"), Version: c.String("model-version")})
		},
	}
}

// Run changes the file.
func Run(options *Options) error {
	text, _, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	changed, err := wharfbundle.SetField(text, "service", options.Service, "model-version", options.Version)
	if err != nil {
		return wharfexit.New(wharfexit.Usage, err, "name a service of the bundle")
	}
	if err := wharfbundle.Write(options.File, changed); err != nil {
		return err
	}
	_, err = fmt.Fprintf(options.Streams.Out, "%s is to run version %s; sign and apply %s\n", options.Service, options.Version, options.File)
	return err
}

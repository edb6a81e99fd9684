package wharfvalidate

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfbundle"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/state/wharfconfig"
)

// Options are what the command was asked for.
type Options struct {
	Streams *wharfstreams.Streams
	File    string
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a bundle file",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf config validate bundle.toml",
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{Streams: f.Streams, File: c.Args().First()})
		},
	}
}

// Run checks the file and prints its hash.
func Run(options *Options) error {
	text, bundle, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(options.Streams.Out, "%s is valid: %d organisations, %d keys, %d services, %d endpoints, hash %s\n",
		options.File, len(bundle.Organisations), len(bundle.Keys), len(bundle.Services), len(bundle.Endpoints), wharfconfig.Hash(text))
	return err
}

package wharflist

import (
	"context"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfbundle"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfprinter"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Options are what the command was asked for.
type Options struct {
	Streams *wharfstreams.Streams
	File    string
	JSON    bool
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "list",
		Usage:     "list the keys of a bundle file",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf key list bundle.toml",
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{Streams: f.Streams, File: c.Args().First(), JSON: c.Bool("json")})
		},
	}
}

// Run prints ids and organisations; hashes only as JSON.
func Run(options *Options) error {
	_, bundle, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, bundle.Keys)
	}
	var rows [][]string
	for _, k := range bundle.Keys {
		rows = append(rows, []string{k.ID, k.Organisation})
	}
	return wharfprinter.Table(options.Streams, []string{"key", "organisation"}, rows)
}

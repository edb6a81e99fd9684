package wharfimport

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	wharfapply "wagtailwharf.example/wagtailwharf/config/apply"
	"wagtailwharf.example/wagtailwharf/wharfbundle"
	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wharf/state/wharfconfig"
)

// Options are what the command was asked for.
type Options struct {
	wharfapply.Options
	Hash string
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "import",
		Usage:     "apply a bundle that config export wrote elsewhere, if it is intact",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf config import bundle.toml --hash HASH --signature bundle.toml.ana.sig",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "hash", Usage: "`HASH` that config export printed", Required: true},
			&cli.StringSliceFlag{Name: "signature", Usage: "`FILE` made by config sign; may be given again"},
			&cli.StringFlag{Name: "operator", Usage: "`NAME` for the history", Sources: cli.EnvVars("USER")},
		},
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Hash: c.String("hash"), Options: wharfapply.Options{
				Streams: f.Streams, Client: client, File: c.Args().First(), Signatures: c.StringSlice("signature"),
				Parent: -1, Operator: c.String("operator"), JSON: c.Bool("json"),
			}})
		}),
	}
}

// Run applies the bundle if its hash is the exported one.
func Run(ctx context.Context, options *Options) error {
	text, _, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	if hash := wharfconfig.Hash(text); hash != options.Hash {
		return wharfexit.New(wharfexit.Failure, fmt.Errorf("%s has hash %s, not %s", options.File, hash, options.Hash), "export it again; nothing was changed")
	}
	return wharfapply.Run(ctx, &options.Options)
}

package wharfwithdraw

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
	ID      string
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "withdraw",
		Usage:     "take a caller's key out of a bundle file",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf key withdraw bundle.toml --id tema-1",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "id", Usage: "`ID` of the key", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{Streams: f.Streams, File: c.Args().First(), ID: c.String("id")})
		},
	}
}

// Run changes the file; apply it to end the key and its open requests.
func Run(options *Options) error {
	text, _, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	changed, err := wharfbundle.RemoveTable(text, "key", "id", options.ID)
	if err != nil {
		return wharfexit.New(wharfexit.Usage, err, "list the keys with: wagtailwharf key list FILE")
	}
	if err := wharfbundle.Write(options.File, changed); err != nil {
		return err
	}
	_, err = fmt.Fprintf(options.Streams.Out, "key %s is out of %s; sign and apply it\n", options.ID, options.File)
	return err
}

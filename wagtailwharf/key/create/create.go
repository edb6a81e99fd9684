package wharfcreate

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfbundle"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/state/wharfconfig"
)

// Options are what the command was asked for.
type Options struct {
	Streams      *wharfstreams.Streams
	File         string
	Organisation string
	ID           string
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "create",
		Usage:     "make a caller's key and put its hash into a bundle file",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf key create bundle.toml --organisation tema --id tema-2",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "organisation", Usage: "`NAME` of the key's organisation", Required: true},
			&cli.StringFlag{Name: "id", Usage: "`ID` of the key", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{Streams: f.Streams, File: c.Args().First(), Organisation: c.String("organisation"), ID: c.String("id")})
		},
	}
}

// Run prints the key, which is stored nowhere, and changes the file; apply it to grant the key.
func Run(options *Options) error {
	text, _, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	key := "wharf-" + rand.Text()
	table := fmt.Sprintf("[[key]]\nid = %q\norganisation = %q\nsha256 = %q\n", options.ID, options.Organisation, wharfconfig.Hash([]byte(key)))
	if err := wharfbundle.Write(options.File, wharfbundle.AppendTable(text, table)); err != nil {
		return wharfexit.New(wharfexit.Usage, err, "name an organisation of the bundle and an id that is not taken")
	}
	_, err = fmt.Fprintln(options.Streams.Out, key)
	return err
}

package wharfcreate

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Name    string
	Out     string
}

// New returns the "signer create" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "create",
		Usage:     "create the key pair of a signer",
		ArgsUsage: "NAME",
		UsageText: "wagtailwharf signer create ana",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "out", Usage: "`FILE` for the private key (default: NAME.key)"}},
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{Streams: f.Streams, Name: c.Args().First(), Out: c.String("out")})
		},
	}
}

const keyMode = 0o600

// Run writes the private key to a new file and prints the public key as a line for the hosts' settings. It returns an
// error if the file exists.
func Run(options *Options) error {
	if options.Name == "" {
		return wharfexit.UsageError("no signer name given", "give the signer's name")
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	out := options.Out
	if out == "" {
		out = options.Name + ".key"
	}
	file, err := os.OpenFile(out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyMode)
	if err != nil {
		return wharfexit.New(wharfexit.Usage, err, "choose another --out; existing files are never overwritten")
	}
	if _, err := fmt.Fprintln(file, base64.StdEncoding.EncodeToString(private.Seed())); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(options.Streams.Out, "%s = %q\n", options.Name, base64.StdEncoding.EncodeToString(public))
	return err
}

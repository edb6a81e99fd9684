package wharfsign

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfbundle"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
)

// Options are what the command was asked for.
type Options struct {
	Streams *wharfstreams.Streams
	File    string
	Signer  string
	KeyFile string
	Out     string
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "sign",
		Usage:     "sign a bundle file off",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf config sign bundle.toml --signer ana --key-file ana.key",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "signer", Usage: "`NAME` of the signer, as the hosts' settings have it", Required: true},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the signer's private key", Required: true},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the signature (default: FILE.SIGNER.sig)"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return Run(&Options{Streams: f.Streams, File: c.Args().First(), Signer: c.String("signer"), KeyFile: c.String("key-file"), Out: c.String("out")})
		},
	}
}

const fileMode = 0o644

var errBadKey = errors.New("the key file does not hold an Ed25519 private key in base64")

// Run writes the signature of the file's exact text.
func Run(options *Options) error {
	text, _, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	key, err := readKey(options.KeyFile)
	if err != nil {
		return wharfexit.New(wharfexit.Usage, err, "make a key with: wagtailwharf signer create NAME")
	}
	out := options.Out
	if out == "" {
		out = options.File + "." + options.Signer + ".sig"
	}
	data, err := json.Marshal(wharfrollout.Signature{Signer: options.Signer, Bytes: ed25519.Sign(key, text)})
	if err != nil {
		return err
	}
	if err := os.WriteFile(out, data, fileMode); err != nil {
		return err
	}
	_, err = fmt.Fprintln(options.Streams.Out, out)
	return err
}

func readKey(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errBadKey
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

package wharfapply

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfbundle"
	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfprinter"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams    *wharfstreams.Streams
	Client     *wharfclient.Client
	File       string
	Signatures []string
	Parent     int64 // version that the change is based on; negative for the version in force
	Operator   string
	JSON       bool
}

// New returns the "config apply" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a signed bundle on every host",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf config apply bundle.toml --signature bundle.toml.ana.sig --parent 41",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "signature", Usage: "signature `FILE` from config sign; repeatable"},
			&cli.Int64Flag{
				Name: "parent", Value: -1,
				Usage: "`VERSION` that the change is based on (default: the version in force)",
			},
			&cli.StringFlag{Name: "operator", Usage: "`NAME` recorded in the history", Sources: cli.EnvVars("USER")},
		},
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{
				Streams: f.Streams, Client: client, File: c.Args().First(), Signatures: c.StringSlice("signature"),
				Parent: c.Int64("parent"), Operator: c.String("operator"), JSON: c.Bool("json"),
			})
		}),
	}
}

// Run applies the bundle. It returns an error with code wharfexit.NotInForce if the bundle was accepted but not yet
// confirmed by every host.
func Run(ctx context.Context, options *Options) error {
	text, _, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	request := wharfoperator.ApplyRequest{Operator: options.Operator, Signed: wharfrollout.Signed{Text: text}}
	for _, path := range options.Signatures {
		signature, err := readSignature(path)
		if err != nil {
			return wharfexit.New(wharfexit.Usage, err, "create signatures with: wagtailwharf config sign FILE")
		}
		request.Signed.Signatures = append(request.Signed.Signatures, signature)
	}
	request.Parent, err = parentVersion(ctx, options)
	if err != nil {
		return err
	}
	var result wharfrollout.Result
	if err := options.Client.JSON(ctx, http.MethodPost, "/v1/config", nil, request, &result); err != nil {
		return err
	}
	return report(options, &result)
}

func readSignature(path string) (wharfrollout.Signature, error) {
	var signature wharfrollout.Signature
	data, err := os.ReadFile(path)
	if err != nil {
		return signature, err
	}
	return signature, json.Unmarshal(data, &signature)
}

// parentVersion returns the version given by the options, or the version in force.
func parentVersion(ctx context.Context, options *Options) (uint64, error) {
	if options.Parent >= 0 {
		return uint64(options.Parent), nil
	}
	var current wharfoperator.ExportedConfiguration
	err := options.Client.JSON(ctx, http.MethodGet, "/v1/config", nil, nil, &current)
	return current.Version, err
}

var errNotInForce = errors.New("configuration accepted, but not yet confirmed by every host")

func report(options *Options, result *wharfrollout.Result) error {
	if options.JSON {
		if err := wharfprinter.JSON(options.Streams, result); err != nil {
			return err
		}
	} else if result.InForce {
		_, _ = fmt.Fprintf(options.Streams.Out, "version %d is in force on every host\n", result.Version)
	}
	if !result.InForce {
		return wharfexit.New(wharfexit.NotInForce, errNotInForce,
			fmt.Sprintf("not confirmed by %s; see: wagtailwharf config status", strings.Join(result.Unconfirmed, ", ")))
	}
	return nil
}

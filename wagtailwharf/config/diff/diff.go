package wharfdiff

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfbundle"
	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

// Options are what the command was asked for.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	File    string
}

// New returns the command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare a bundle file with the configuration in force",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf config diff bundle.toml",
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, File: c.Args().First()})
		}),
	}
}

// Run prints the lines that differ, those in force with - and those of the file with +.
func Run(ctx context.Context, options *Options) error {
	text, _, err := wharfbundle.Read(options.File)
	if err != nil {
		return err
	}
	var present wharfoperator.ExportedConfiguration
	if err := options.Client.JSON(ctx, http.MethodGet, "/v1/config", nil, nil, &present); err != nil {
		return err
	}
	for _, line := range Lines(string(present.Text), string(text)) {
		if _, err := fmt.Fprintln(options.Streams.Out, line); err != nil {
			return err
		}
	}
	return nil
}

// Lines returns the lines that stand between the first and the last difference of two texts.
func Lines(from, to string) []string {
	before := strings.Split(from, "\n")
	after := strings.Split(to, "\n")
	for len(before) > 0 && len(after) > 0 && before[0] == after[0] {
		before = before[1:]
		after = after[1:]
	}
	for len(before) > 0 && len(after) > 0 && before[len(before)-1] == after[len(after)-1] {
		before = before[:len(before)-1]
		after = after[:len(after)-1]
	}
	lines := make([]string, 0, len(before)+len(after))
	for _, line := range before {
		lines = append(lines, "-"+line)
	}
	for _, line := range after {
		lines = append(lines, "+"+line)
	}
	return lines
}

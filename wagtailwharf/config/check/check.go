package wharfcheck

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfprinter"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/state/wharfaudit"
)

// Formats of a configuration.
const (
	formatTOML = "toml" // the bundle
	formatJSON = "json" // the routing configuration of the platform
)

// Exit codes. They are those of failures and of unusable arguments elsewhere.
const (
	exitWarnings = wharfexit.Failure
	exitErrors   = wharfexit.Usage
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client // nil if the version in force is not asked for
	File    string
	InForce string // file with the version in force, or ""
	Format  string // formatTOML, formatJSON, or "" to choose by the extension of the file
	Strict  bool
	JSON    bool
}

// New returns the "config check" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "find mistakes in a configuration, and its differences from the version in force",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf config check bundle.toml\n" +
			"wagtailwharf config check routes.json --in-force routes-in-force.json --strict",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "format", Usage: "`FORMAT` of the file, toml or json (default: by its extension)"},
			&cli.StringFlag{Name: "in-force", Usage: "`FILE` that holds the version in force (default for toml: that of --operators)"},
			&cli.BoolFlag{Name: "strict", Usage: "exit with code 1 if there are warnings"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			options := &Options{
				Streams: f.Streams, File: c.Args().First(), InForce: c.String("in-force"), Format: c.String("format"),
				Strict: c.Bool("strict"), JSON: c.Bool("json"),
			}
			if err := options.complete(); err != nil {
				return err
			}
			if options.Format == formatTOML && options.InForce == "" && c.String("operators") != "" {
				client, err := f.OperatorClient(c)
				if err != nil {
					return err
				}
				options.Client = client
			}
			return Run(ctx, options)
		},
	}
}

// complete checks the arguments and sets the format.
func (o *Options) complete() error {
	if o.File == "" {
		return wharfexit.UsageError("no configuration file given", "give the TOML bundle or the JSON configuration")
	}
	if o.Format == "" {
		o.Format = formatTOML
		if filepath.Ext(o.File) == ".json" {
			o.Format = formatJSON
		}
	}
	if o.Format != formatTOML && o.Format != formatJSON {
		return wharfexit.UsageError(fmt.Sprintf("unknown format %q", o.Format), "give --format toml or --format json")
	}
	return nil
}

// Run prints the findings. It returns an error with exit code 2 if there are errors, and with exit code 1 if there are
// warnings and Strict is set.
func Run(ctx context.Context, options *Options) error {
	text, err := read(options.File)
	if err != nil {
		return err
	}
	check := checkBundle
	if options.Format == formatJSON {
		check = checkRoutes
	}
	findings, compared, err := check(ctx, options, text)
	if err != nil {
		return err
	}
	if !compared {
		_, _ = fmt.Fprintln(options.Streams.Err, "not compared with the version in force")
	}
	wharfaudit.Sort(findings)
	if err := options.print(findings); err != nil {
		return err
	}
	return options.verdict(findings)
}

// read returns the content of a file.
func read(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, wharfexit.New(wharfexit.Usage, err, "give a file that holds a configuration")
	}
	return text, nil
}

func (o *Options) print(findings []wharfaudit.Finding) error {
	if o.JSON {
		return wharfprinter.JSON(o.Streams, append([]wharfaudit.Finding{}, findings...))
	}
	for _, f := range findings {
		place := o.File
		if f.Line > 0 {
			place = fmt.Sprintf("%s:%d", o.File, f.Line)
		}
		entry := f.Kind
		if f.Name != "" {
			entry = fmt.Sprintf("%s %q", f.Kind, f.Name)
		}
		if _, err := fmt.Fprintf(o.Streams.Out, "%s: %s: %s: %s\n", place, f.Severity, entry, f.Reason); err != nil {
			return err
		}
	}
	return nil
}

// verdict returns the error that sets the exit code, or nil.
func (o *Options) verdict(findings []wharfaudit.Finding) error {
	counts := map[wharfaudit.Severity]int{}
	for _, f := range findings {
		counts[f.Severity]++
	}
	message := fmt.Sprintf("%s: errors: %d, warnings: %d", o.File, counts[wharfaudit.Error], counts[wharfaudit.Warning])
	switch {
	case counts[wharfaudit.Error] > 0:
		return wharfexit.New(exitErrors, errors.New(message), "")
	case counts[wharfaudit.Warning] > 0 && o.Strict:
		return wharfexit.New(exitWarnings, errors.New(message), "")
	}
	return nil
}

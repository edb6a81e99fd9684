// Command wagtailwharfd runs the entry daemon or, with the routes subcommand, the routing daemon.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wagtailwharfd/wharfdaemon"
	"wagtailwharf.example/wagtailwharfd/wharfhost"
	"wagtailwharf.example/wharf/protocol/wharfhostsettings"
	"wagtailwharf.example/wharf/protocol/wharfsettings"
	"wagtailwharf.example/wharf/transport/wharflog"
)

const (
	exitFailure  = 1
	exitSettings = 2
	settingsEnv  = "WAGTAILWHARF_SETTINGS"
)

func main() {
	if err := command(os.Stderr).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wagtailwharfd:", trace.Unwrap(err))
		os.Exit(exitFailure)
	}
}

func command(logs io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "wagtailwharfd",
		Usage:     "serve callers of language models and plain services",
		UsageText: "wagtailwharfd --settings /etc/wagtailwharf/daemon.toml\n   wagtailwharfd --settings daemon.toml --check\n   wagtailwharfd routes --settings host.toml",
		Flags: []cli.Flag{
			settingsFlag(),
			checkFlag(),
			&cli.StringFlag{Name: "host", Usage: "override the host's name"},
			&cli.StringFlag{Name: "platform", Usage: "override the platform's `URL`"},
			&cli.IntFlag{Name: "log-level", Usage: "override the log level"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, logs) },
		Commands: []*cli.Command{{
			Name:      "routes",
			Usage:     "serve callers of routes, with configuration, endpoints and batch jobs in the platform's store",
			UsageText: "wagtailwharfd routes --settings host.toml\n   wagtailwharfd routes --settings host.toml --check",
			Flags:     append(regionFlags(), settingsFlag(), checkFlag()),
			Action:    runRoutes,
		}},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Usage: "the TOML settings `FILE`", Local: true, Sources: cli.EnvVars(settingsEnv),
	}
}

// regionFlags returns the flags that a platform which renders regions can set by environment variables.
func regionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "region", Usage: "the host's `REGION`, in place of that in the settings", Local: true,
			Sources: cli.EnvVars("WAGTAILWHARF_REGION"),
		},
		&cli.StringFlag{
			Name: "zones", Usage: "the regions of the availability zones as a `JSON` object, in place of those in the settings",
			Local: true, Sources: cli.EnvVars("WAGTAILWHARF_ZONES"),
		},
	}
}

// loadHostSettings reads the settings of a routing daemon and applies the command's overriding flags.
func loadHostSettings(c *cli.Command, file string) (wharfhostsettings.Settings, error) {
	settings, err := wharfhostsettings.Read(file)
	if err != nil {
		return settings, err
	}
	if region := c.String("region"); region != "" {
		err = errors.Join(err, settings.Region.UnmarshalText([]byte(region)))
	}
	if zones := c.String("zones"); zones != "" {
		err = errors.Join(err, settings.Zones.UnmarshalText([]byte(zones)))
	}
	return settings, errors.Join(err, settings.Validate())
}

// settingsFile returns the path of the settings file. The flag is not marked as required, because the root command's
// flag would then also be required when a subcommand is run.
func settingsFile(c *cli.Command) (string, error) {
	if file := c.String("settings"); file != "" {
		return file, nil
	}
	return "", cli.Exit("no settings file: name one with --settings FILE or in "+settingsEnv, exitSettings)
}

func checkFlag() cli.Flag {
	return &cli.BoolFlag{Name: "check", Usage: "check the settings and exit", Local: true}
}

// drainer is a daemon that supports graceful shutdown.
type drainer interface {
	Drain()
}

// run starts the entry daemon.
func run(ctx context.Context, c *cli.Command, logs io.Writer) error {
	if _, err := settingsFile(c); err != nil {
		return err
	}
	settings, tokens, err := loadSettings(c)
	if err != nil {
		return settingsError(c, err)
	}
	if c.Bool("check") {
		return printValid(c)
	}
	setUpLogging(logs, settings.LogLevel, settings.Host, settings.Zone)
	if settings.MemoryMB > 0 {
		limitMemory(settings.MemoryMB)
	} else {
		collectBeyond(settings.BodyMemory())
	}
	daemon, err := wharfdaemon.New(settings, tokens, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := drainOnSignals(ctx, daemon)
	defer cancel()
	return trace.Wrap(daemon.Run(ctx))
}

// settingsError returns an exit error for invalid settings.
func settingsError(c *cli.Command, err error) error {
	return cli.Exit(fmt.Sprintf("%v\nfix %s and check it with --check", trace.Unwrap(err), c.String("settings")),
		exitSettings)
}

// printValid reports valid settings.
func printValid(c *cli.Command) error {
	_, err := fmt.Fprintln(c.Root().Writer, "settings are valid")
	return err
}

// runRoutes starts the routing daemon.
func runRoutes(ctx context.Context, c *cli.Command) error {
	file, err := settingsFile(c)
	if err != nil {
		return err
	}
	settings, err := loadHostSettings(c, file)
	if err != nil {
		return settingsError(c, err)
	}
	if c.Bool("check") {
		return printValid(c)
	}
	writer := wharflog.New(os.Stdout)
	logging, stopLogging := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() { written <- writer.Serve(logging) }()
	defer func() {
		stopLogging()
		<-written
	}()
	setUpLogging(writer, settings.LogLevel, settings.Host, settings.Zone)
	limitMemory(settings.MemoryMB)
	host := wharfhost.New(settings)
	ctx, cancel := drainOnSignals(ctx, host)
	defer cancel()
	reloadOnSignal(ctx, file)
	return trace.Wrap(host.Run(ctx))
}

// drainOnSignals drains the daemon on the first signal and cancels the returned context on a second interrupt. A
// repeated SIGTERM does not cancel it, because process supervisors may send SIGTERM repeatedly.
func drainOnSignals(ctx context.Context, daemon drainer) (context.Context, context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(ctx)
	go handleStopSignals(ctx, signals, daemon, cancel)
	return ctx, cancel
}

func handleStopSignals(ctx context.Context, signals <-chan os.Signal, daemon drainer, stop context.CancelFunc) {
	for draining := false; ; draining = true {
		select {
		case received := <-signals:
			if draining && received == os.Interrupt {
				stop()
				return
			}
			if !draining {
				daemon.Drain()
			}
		case <-ctx.Done():
			return
		}
	}
}

// loadSettings reads the settings and token files and applies the command's overriding flags.
func loadSettings(c *cli.Command) (wharfsettings.Settings, wharfdaemon.Tokens, error) {
	var tokens wharfdaemon.Tokens
	settings, err := wharfsettings.Read(c.String("settings"))
	if err != nil {
		return settings, tokens, trace.Wrap(err)
	}
	if c.IsSet("host") {
		settings.Host = c.String("host")
	}
	if c.IsSet("platform") {
		settings.Platform = c.String("platform")
	}
	if c.IsSet("log-level") {
		settings.LogLevel = c.Int("log-level")
	}
	if err := settings.Validate(); err != nil {
		return settings, tokens, trace.Wrap(err)
	}
	tokens.Peer, err = wharfsettings.Token(settings.Secrets.PeerTokenFile)
	if err != nil {
		return settings, tokens, trace.Wrap(err)
	}
	tokens.Operator, err = wharfsettings.Token(settings.Secrets.OperatorTokenFile)
	return settings, tokens, trace.Wrap(err)
}

// setUpLogging configures klog to write JSON lines with the host's name and zone.
func setUpLogging(logs io.Writer, level int, host, zone string) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
	handler := slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: slog.Level(-level)})
	logger := slog.New(handler).With("host", host, "availability-zone", zone)
	klog.SetSlogLogger(logger)
}

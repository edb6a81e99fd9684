// Command wagtailwharfd is the entry daemon.
package main

import (
	"context"
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
	"wagtailwharf.example/wharf/protocol/wharfsettings"
)

const (
	exitFailure  = 1
	exitSettings = 2
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
		UsageText: "wagtailwharfd --settings /etc/wagtailwharf/daemon.toml\n   wagtailwharfd --settings daemon.toml --check",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the TOML settings `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.StringFlag{Name: "host", Usage: "override the host's name"},
			&cli.StringFlag{Name: "platform", Usage: "override the platform's `URL`"},
			&cli.IntFlag{Name: "log-level", Usage: "override the log level"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, logs) },
	}
}

func run(ctx context.Context, c *cli.Command, logs io.Writer) error {
	settings, tokens, err := load(c)
	if err != nil {
		return cli.Exit(fmt.Sprintf("%v\nmend %s and check it with --check", trace.Unwrap(err), c.String("settings")), exitSettings)
	}
	if c.Bool("check") {
		_, err := fmt.Fprintln(c.Root().Writer, "settings are valid")
		return err
	}
	startLogs(logs, settings)
	daemon, err := wharfdaemon.New(settings, tokens, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go stopOn(ctx, signals, daemon, cancel)
	return trace.Wrap(daemon.Run(ctx))
}

// stopOn drains at the first signal and stops at once at the second.
func stopOn(ctx context.Context, signals <-chan os.Signal, daemon *wharfdaemon.Daemon, stop context.CancelFunc) {
	for count := 0; ; count++ {
		select {
		case <-signals:
			if count > 0 {
				stop()
				return
			}
			daemon.Drain()
		case <-ctx.Done():
			return
		}
	}
}

func load(c *cli.Command) (wharfsettings.Settings, wharfdaemon.Tokens, error) {
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

func startLogs(logs io.Writer, settings wharfsettings.Settings) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(settings.LogLevel))
	handler := slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: slog.Level(-settings.LogLevel)})
	logger := slog.New(handler).With("host", settings.Host, "availability-zone", settings.Zone)
	klog.SetSlogLogger(logger)
}

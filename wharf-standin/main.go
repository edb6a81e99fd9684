// Command wharf-standin runs a simulated platform, model engine or plain HTTP service for tests and demos.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wharf-standin/wharfhttpservice"
	"wagtailwharf.example/wharf-standin/wharfmodel"
	"wagtailwharf.example/wharf-standin/wharfplatform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wharf-standin:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "wharf-standin",
		Usage: "simulate the systems that wagtailwharf depends on",
		Commands: []*cli.Command{
			{
				Name:   "platform",
				Usage:  "serve a table, an object store, a weight store and a host list",
				Flags:  []cli.Flag{listenFlag()},
				Action: runPlatform,
			},
			{
				Name:   "engine",
				Usage:  "serve a model engine",
				Flags:  append(engineFlags(), listenFlag()),
				Action: runEngine,
			},
			{
				Name:   "service",
				Usage:  "serve a plain HTTP service that counts executions",
				Flags:  []cli.Flag{listenFlag()},
				Action: runService,
			},
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "IP address and port to listen on", Required: true}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{
			Name: "token-time", Value: 5 * time.Millisecond, Usage: "token interval of a request that runs alone",
		},
		&cli.DurationFlag{
			Name: "prefill-token", Value: 50 * time.Microsecond,
			Usage: "prefill time for each prompt token that is not cached",
		},
		&cli.IntFlag{Name: "slots", Value: 16, Usage: "concurrent requests at which the token interval doubles"},
		&cli.IntFlag{Name: "cache-entries", Value: 4096, Usage: "maximum number of cached prompt prefixes"},
		&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond, Usage: "staleness of load reports"},
		&cli.DurationFlag{Name: "restart-time", Value: 2 * time.Second, Usage: "downtime after a crash"},
		&cli.BoolFlag{Name: "checks-fences", Usage: "reject orders whose fencing number is lower than the current one"},
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, wharfplatform.New())
}

func runEngine(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, wharfmodel.New(wharfmodel.Options{
		TokenTime:        c.Duration("token-time"),
		PrefillTokenTime: c.Duration("prefill-token"),
		Slots:            c.Int("slots"),
		CacheEntries:     c.Int("cache-entries"),
		LoadReportDelay:  c.Duration("load-lag"),
		RestartTime:      c.Duration("restart-time"),
		CheckFences:      c.Bool("checks-fences"),
	}))
}

func runService(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, wharfhttpservice.New())
}

func serve(ctx context.Context, c *cli.Command, handler http.Handler) error {
	address, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return fmt.Errorf("--listen must be an IP address and a port, such as 127.0.0.1:8080: %w", err)
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Command wharf-standin runs small stand-ins for the platform, a model engine or a plain service.
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
		Usage: "stand-ins for what wagtailwharf runs beside",
		Commands: []*cli.Command{
			{Name: "platform", Usage: "table, object store, weight store and host list", Flags: []cli.Flag{listenFlag()}, Action: runPlatform},
			{Name: "engine", Usage: "a model engine", Flags: append(engineFlags(), listenFlag()), Action: runEngine},
			{Name: "service", Usage: "a plain service that counts runs", Flags: []cli.Flag{listenFlag()}, Action: runService},
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "address and port to serve", Required: true}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: "token-time", Value: 5 * time.Millisecond, Usage: "time between tokens when alone"},
		&cli.DurationFlag{Name: "prefill-token", Value: 50 * time.Microsecond, Usage: "time for each prompt token that is not cached"},
		&cli.IntFlag{Name: "slots", Value: 16, Usage: "requests at which the token time has doubled"},
		&cli.IntFlag{Name: "cache-entries", Value: 4096, Usage: "prompt prefixes held"},
		&cli.DurationFlag{Name: "load-lag", Value: 500 * time.Millisecond, Usage: "age of load reports"},
		&cli.DurationFlag{Name: "restart-time", Value: 2 * time.Second, Usage: "time closed after a crash"},
		&cli.BoolFlag{Name: "checks-fences", Usage: "refuse orders with an old fencing number"},
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

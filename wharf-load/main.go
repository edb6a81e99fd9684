// Command wharf-load starts deployments on loopback and applies load to them: demos, experiments, soak tests and plots.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wharf-load/wharfdemo"
	"wagtailwharf.example/wharf-load/wharfexperiment"
	"wagtailwharf.example/wharf-load/wharfreport"
	"wagtailwharf.example/wharf-load/wharfseries"
	"wagtailwharf.example/wharf-load/wharfslope"
	"wagtailwharf.example/wharf-load/wharfsoak"
	"wagtailwharf.example/wharf-load/wharfstack"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wharf-load:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "wharf-load",
		Usage: "start deployments on loopback and apply load to them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`FOLDER` of the binaries"},
		},
		Commands: []*cli.Command{
			{Name: "demo", Usage: "demonstrate a deployment end to end", Action: demo},
			{Name: "run", Usage: "run a deployment until interrupted", Flags: []cli.Flag{
				&cli.StringFlag{Name: "dir", Value: ".run", Usage: "`FOLDER` for settings, keys, logs and stack.json"},
				&cli.IntFlag{Name: "daemons", Value: 3, Usage: "daemons per availability zone"},
			}, Action: run},
			{Name: "measure", Usage: "run experiments and write a report", ArgsUsage: "[FILE...]", Flags: []cli.Flag{
				&cli.StringFlag{
					Name: "experiments", Value: "wharf-load/experiments",
					Usage: "`FOLDER` of the experiments to run if no file is given",
				},
				&cli.StringFlag{Name: "page", Usage: "`FILE` for the page"},
				&cli.StringFlag{Name: "results", Usage: "`FILE` for the results as JSON"},
			}, Action: measure},
			{Name: "plot", Usage: "plot the results of measure", Flags: []cli.Flag{
				&cli.StringFlag{Name: "results", Value: "docs/measurements.json", Usage: "`FILE` written by measure"},
				&cli.StringFlag{Name: "dir", Value: "docs/plots", Usage: "`FOLDER` for the plots"},
				&cli.StringFlag{Name: "page", Usage: "`FILE` for the page, regenerated from the results"},
			}, Action: plots},
			{
				Name: "soak", Usage: "run daemons under random faults and check their guarantees",
				Flags: soakFlags(), Action: soak,
			},
			{Name: "slopes", Usage: "measure how a daemon's control-plane cost grows", Flags: []cli.Flag{
				&cli.StringFlag{Name: "dimension", Usage: "measure only `NAME`"},
				&cli.StringFlag{Name: "page", Usage: "`FILE` for the page"},
				&cli.StringFlag{Name: "results", Usage: "`FILE` for the results as JSON"},
			}, Action: slopes},
		},
	}
}

func soakFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "first", Usage: "first `SEED`; random if 0"},
		&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds to run"},
		&cli.BoolFlag{Name: "regressions", Usage: "first run the seeds that failed in the past"},
		&cli.IntFlag{Name: "parallel", Value: 2, Usage: "number of seeds to run in parallel"},
		&cli.IntFlag{Name: "hosts", Value: 4, Usage: "daemons per run"},
		&cli.IntFlag{
			Name: "max-mesh-peers", Value: wharfgossip.DefaultMaxMeshPeers,
			Usage: "the daemons' setting; 0 or 1 makes them a large fleet with allocators",
		},
		&cli.IntFlag{Name: "endpoints", Value: 6, Usage: "endpoints per run"},
		&cli.BoolFlag{Name: "evacuations", Usage: "also evacuate zones"},
		&cli.BoolFlag{Name: "cold", Usage: "endpoints are cold after a start and after an evacuation"},
		&cli.DurationFlag{Name: "length", Value: 12 * time.Second, Usage: "period during which faults start"},
		&cli.StringFlag{Name: "dir", Usage: "`FOLDER` for settings and logs, which are kept for seeds that fail"},
	}
}

func soak(ctx context.Context, c *cli.Command) error {
	dir := c.String("dir")
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "wharf-soak-"); err != nil {
			return err
		}
	}
	bin, err := filepath.Abs(c.String("bin"))
	if err != nil {
		return err
	}
	return wharfseries.Run(ctx, wharfseries.Options{
		Soak: wharfsoak.Options{
			BinDir: bin, WorkDir: dir, Hosts: c.Int("hosts"), Endpoints: c.Int("endpoints"),
			MaxMeshPeers: c.Int("max-mesh-peers"), Evacuations: c.Bool("evacuations"),
			Cold: c.Bool("cold"), Duration: c.Duration("length"),
		},
		FirstSeed:   c.Uint64("first"),
		Seeds:       c.Int("seeds"),
		Parallel:    c.Int("parallel"),
		Regressions: c.Bool("regressions"),
	}, os.Stdout)
}

func demo(ctx context.Context, c *cli.Command) error {
	dir, err := os.MkdirTemp("", "wharf-demo-")
	if err != nil {
		return err
	}
	if err := wharfdemo.Run(ctx, wharfdemo.Options(c.String("bin"), dir, 2), os.Stdout); err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, dir)
	}
	fmt.Println("demo passed")
	return os.RemoveAll(dir)
}

func run(ctx context.Context, c *cli.Command) error {
	dir, err := filepath.Abs(c.String("dir"))
	if err != nil {
		return err
	}
	stack, err := wharfstack.Start(ctx, wharfdemo.Options(c.String("bin"), dir, c.Int("daemons")))
	if err != nil {
		return err
	}
	defer stack.Stop()
	file := filepath.Join(dir, "stack.json")
	if err := stack.WriteDescription(file); err != nil {
		return err
	}
	fmt.Println("running; addresses and keys are in", file)
	<-ctx.Done()
	return nil
}

func measure(ctx context.Context, c *cli.Command) error {
	files := c.Args().Slice()
	if len(files) == 0 {
		var err error
		files, err = filepath.Glob(filepath.Join(c.String("experiments"), "*.toml"))
		if err != nil {
			return err
		}
	}
	report := wharfreport.New()
	for _, file := range files {
		experiment, err := wharfexperiment.Read(file)
		if err != nil {
			return err
		}
		result, err := wharfexperiment.Run(ctx, experiment, c.String("bin"))
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		fmt.Printf(
			"%s: first token p99 %.1f ms, between tokens p99 %.1f ms, batch %.0f tokens/s, worst %.3f, wrongful %.4f\n",
			result.Name, result.FirstToken.P99, result.BetweenTokens.P99, result.BatchTokens, result.WorstServedShare(),
			result.WrongfulRate())
		report.Add(result)
	}
	return write(c, report)
}

func write(c *cli.Command, report *wharfreport.Report) error {
	if path := c.String("results"); path != "" {
		if err := report.WriteJSON(path); err != nil {
			return err
		}
	}
	if path := c.String("page"); path != "" {
		return report.WritePage(path)
	}
	return nil
}

func slopes(ctx context.Context, c *cli.Command) error {
	var measured []*wharfslope.Slope
	for _, dimension := range wharfslope.Dimensions() {
		if name := c.String("dimension"); name != "" && name != dimension.Name() {
			continue
		}
		slope, err := wharfslope.Measure(ctx, dimension, c.String("bin"), os.Stdout)
		if err != nil {
			return err
		}
		measured = append(measured, slope)
	}
	if path := c.String("results"); path != "" {
		if err := wharfslope.WriteJSON(path, measured); err != nil {
			return err
		}
	}
	if path := c.String("page"); path != "" {
		return wharfslope.WritePage(path, measured)
	}
	return nil
}

func plots(_ context.Context, c *cli.Command) error {
	report, err := wharfreport.ReadJSON(c.String("results"))
	if err != nil {
		return err
	}
	if page := c.String("page"); page != "" {
		if err := report.WritePage(page); err != nil {
			return err
		}
	}
	return report.WritePlots(c.String("dir"))
}

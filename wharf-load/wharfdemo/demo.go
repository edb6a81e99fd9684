package wharfdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"wagtailwharf.example/wharf-load/wharfcaller"
	"wagtailwharf.example/wharf-load/wharfstack"
	"wagtailwharf.example/wharf-standin/wharftokens"
)

const (
	itemCount      = 1000
	itemTokens     = 12
	chatTokens     = 24
	pollInterval   = time.Second
	killAfterItems = itemCount / 10
)

// ErrIncomplete is returned when a batch item does not have exactly one correct result.
var ErrIncomplete = errors.New("not every item has exactly one correct result")

// Options returns the options of the demo deployment.
func Options(bin, dir string, daemonsPerZone int) wharfstack.Options {
	return wharfstack.Options{
		BinDir:         bin,
		WorkDir:        dir,
		Zones:          []string{"gh-south-a", "gh-south-b"},
		Region:         "gh-south",
		DaemonsPerZone: daemonsPerZone,
		EnginesPerZone: 2,
		Slots:          16,
		TokenTime:      5 * time.Millisecond,
		Service:        "solver-assist",
		Organisations: []wharfstack.Organisation{
			{Name: "tema-pipelines", Rate: 200, Burst: 200, Weight: 2},
			{Name: "accra-hydro", Rate: 50, Burst: 50},
			{Name: "volta-internal", Rate: 20, Burst: 20},
		},
		LeaseTerm: 2 * time.Second,
		Headroom:  0.25,
	}
}

// Run starts the deployment, sends online requests and a batch job, and prints each step.
func Run(ctx context.Context, options wharfstack.Options, out io.Writer) error {
	printStep(out, "starting platform, endpoints and daemons in %d availability zones", len(options.Zones))
	stack, err := wharfstack.Start(ctx, options)
	if err != nil {
		return err
	}
	defer stack.Stop()
	d := &demo{stack: stack, out: out, service: options.Service}
	if err := d.runOnline(ctx); err != nil {
		return err
	}
	return d.runBatch(ctx)
}

func printStep(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, "- "+format+"\n", args...)
}

type demo struct {
	stack   *wharfstack.Stack
	out     io.Writer
	service string
}

func (d *demo) caller(daemon int, organisation string) *wharfcaller.Caller {
	return &wharfcaller.Caller{
		BaseURL: d.stack.Daemons[daemon].URL,
		Key:     d.stack.Keys[organisation],
		Client:  &http.Client{Timeout: time.Minute},
	}
}

func (d *demo) runOnline(ctx context.Context) error {
	c := d.caller(0, "tema-pipelines")
	timing, err := c.Chat(ctx, d.service, "How fine should the mesh be at the inlet?", chatTokens, false)
	if err != nil {
		return err
	}
	printStep(d.out, "non-streaming chat request completed in %v", timing.Total.Round(time.Millisecond))
	timing, err = c.Chat(ctx, d.service, "Which boundary condition suits the outlet?", chatTokens, true)
	if err != nil {
		return err
	}
	printStep(d.out, "streaming chat request: first token after %v, completed in %v",
		timing.FirstToken.Round(time.Millisecond), timing.Total.Round(time.Millisecond))
	response, err := c.Do(ctx, http.MethodPost, "/services/ledger/entries", http.Header{"Idempotency-Key": {"demo-1"}},
		[]byte("run 17"))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	printStep(d.out, "plain service responded %q", body)
	return nil
}

func (d *demo) runBatch(ctx context.Context) error {
	const organisation = "accra-hydro"
	c := d.caller(0, organisation)
	file, err := c.UploadFile(ctx, wharfcaller.BatchInput(d.service, "case", itemCount, itemTokens))
	if err != nil {
		return err
	}
	job, err := c.CreateBatch(ctx, file, "demo-job")
	if err != nil {
		return err
	}
	printStep(d.out, "batch job with %d items accepted as %s", itemCount, job.ID)
	startedAt := time.Now()
	last := len(d.stack.Daemons) - 1
	killed := false
	for job.Status == "in_progress" {
		time.Sleep(pollInterval)
		job, err = c.GetBatch(ctx, job.ID)
		if err != nil {
			return err
		}
		printStep(d.out, "  %d of %d items finished", job.Counts.Completed+job.Counts.Failed, job.Counts.Total)
		if !killed && job.Counts.Completed >= killAfterItems && job.Status == "in_progress" {
			killed = true
			d.stack.Daemons[last].Kill()
			printStep(d.out, "killed %s with SIGKILL", d.stack.Daemons[last].Name)
		}
	}
	printStep(d.out, "job %s after %v", job.Status, time.Since(startedAt).Round(time.Second))
	return d.checkResults(ctx, d.caller(1, organisation), &job)
}

func (d *demo) checkResults(ctx context.Context, c *wharfcaller.Caller, job *wharfcaller.Batch) error {
	if job.OutputFileID == nil {
		return ErrIncomplete
	}
	results, err := c.ReadResults(ctx, *job.OutputFileID)
	if err != nil {
		return err
	}
	for i := range itemCount {
		id := fmt.Sprintf("case-%d", i)
		want := wharftokens.TextFor(wharfcaller.BatchPrompt("case", i)).FirstTokens(itemTokens)
		if texts := results[id]; len(texts) != 1 || texts[0] != want {
			return fmt.Errorf("%w: item %s has %d results, want one with the expected text", ErrIncomplete, id,
				len(texts))
		}
	}
	if len(results) != itemCount {
		return fmt.Errorf("%w: got results for %d items", ErrIncomplete, len(results))
	}
	printStep(d.out, "all %d items have exactly one correct result, read through another host", itemCount)
	return nil
}

// Command wagtailwharf is the command-line client for operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	wharfroot "wagtailwharf.example/wagtailwharf/root"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	streams := wharfstreams.System()
	err := wharfroot.New(wharffactory.New(streams)).Run(ctx, os.Args)
	if err != nil {
		_, _ = fmt.Fprintln(streams.Err, "wagtailwharf:", err)
	}
	os.Exit(wharfexit.Code(err))
}

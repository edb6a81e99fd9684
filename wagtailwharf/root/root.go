package wharfroot

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	wharfchat "wagtailwharf.example/wagtailwharf/chat"
	wharfapply "wagtailwharf.example/wagtailwharf/config/apply"
	wharfcheck "wagtailwharf.example/wagtailwharf/config/check"
	wharfdiff "wagtailwharf.example/wagtailwharf/config/diff"
	wharfexport "wagtailwharf.example/wagtailwharf/config/export"
	wharfhistory "wagtailwharf.example/wagtailwharf/config/history"
	wharfimport "wagtailwharf.example/wagtailwharf/config/import"
	wharfsign "wagtailwharf.example/wagtailwharf/config/sign"
	wharfstatus "wagtailwharf.example/wagtailwharf/config/status"
	wharfvalidate "wagtailwharf.example/wagtailwharf/config/validate"
	wharfendpoints "wagtailwharf.example/wagtailwharf/endpoint/list"
	wharforder "wagtailwharf.example/wagtailwharf/endpoint/order"
	wharfdrain "wagtailwharf.example/wagtailwharf/host/drain"
	wharflatency "wagtailwharf.example/wagtailwharf/host/latency"
	wharfhosts "wagtailwharf.example/wagtailwharf/host/list"
	wharfremove "wagtailwharf.example/wagtailwharf/host/remove"
	wharfcancel "wagtailwharf.example/wagtailwharf/job/cancel"
	wharfjobs "wagtailwharf.example/wagtailwharf/job/list"
	wharfresults "wagtailwharf.example/wagtailwharf/job/results"
	wharfjobstatus "wagtailwharf.example/wagtailwharf/job/status"
	wharfsubmit "wagtailwharf.example/wagtailwharf/job/submit"
	wharfwatch "wagtailwharf.example/wagtailwharf/job/watch"
	wharfcreate "wagtailwharf.example/wagtailwharf/key/create"
	wharfkeys "wagtailwharf.example/wagtailwharf/key/list"
	wharfwithdraw "wagtailwharf.example/wagtailwharf/key/withdraw"
	wharftrace "wagtailwharf.example/wagtailwharf/log/trace"
	wharforgs "wagtailwharf.example/wagtailwharf/org/list"
	wharfsigner "wagtailwharf.example/wagtailwharf/signer/create"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
)

// Version is the version that the command line reports.
const Version = "0.1.0"

// New returns the root command.
func New(f *wharffactory.Factory) *cli.Command {
	root := &cli.Command{
		Name:                  "wagtailwharf",
		Usage:                 "operate and call a wagtailwharf deployment",
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Writer:         f.Streams.Out,
		ErrWriter:      f.Streams.Err,
		Flags:          wharffactory.Flags(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			commandGroup("config", "manage the configuration bundle", wharfvalidate.New(f), wharfcheck.New(f),
				wharfdiff.New(f), wharfsign.New(f), wharfapply.New(f), wharfstatus.New(f), wharfhistory.New(f),
				wharfexport.New(f), wharfimport.New(f)),
			commandGroup("signer", "manage the signers of configurations", wharfsigner.New(f)),
			commandGroup("org", "inspect organisations", wharforgs.New(f)),
			commandGroup("key", "manage callers' keys", wharfcreate.New(f), wharfwithdraw.New(f), wharfkeys.New(f)),
			commandGroup("host", "manage entry hosts", wharfhosts.New(f), wharfdrain.New(f),
				wharfremove.New(f), wharflatency.New(f)),
			commandGroup("endpoint", "manage endpoints", wharfendpoints.New(f), wharforder.New(f)),
			commandGroup("job", "manage batch jobs", wharfsubmit.New(f), wharfjobs.New(f), wharfjobstatus.New(f),
				wharfresults.New(f), wharfcancel.New(f), wharfwatch.New(f)),
			commandGroup("log", "inspect hosts' logs", wharftrace.New(f)),
			wharfchat.New(f),
			versionCommand(f),
		},
	}
	handleUsageErrors(root)
	return root
}

// handleUsageErrors makes a command and all its subcommands exit with wharfexit.Usage on invalid flags or arguments.
func handleUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return wharfexit.New(wharfexit.Usage, err, "see: "+c.FullName()+" --help")
	}
	for _, subcommand := range c.Commands {
		handleUsageErrors(subcommand)
	}
}

// commandGroup returns a command that only groups subcommands.
func commandGroup(name, usage string, subcommands ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: subcommands}
}

func versionCommand(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "version",
		Usage:     "print the version",
		UsageText: "wagtailwharf version",
		Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprintln(f.Streams.Out, "wagtailwharf", Version)
			return err
		},
	}
}

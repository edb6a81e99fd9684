package wharfhistory

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfprinter"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams *wharfstreams.Streams
	Client  *wharfclient.Client
	JSON    bool
}

// New returns the "config history" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "list the accepted configurations",
		UsageText: "wagtailwharf config history",
		Action: f.OperatorAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{Streams: f.Streams, Client: client, JSON: c.Bool("json")})
		}),
	}
}

// shortHashLength is the number of digits of a hash in a table.
const shortHashLength = 12

func shortHash(hash string) string {
	return hash[:min(len(hash), shortHashLength)]
}

// Run prints the accepted configurations, oldest first.
func Run(ctx context.Context, options *Options) error {
	var history []wharfrollout.Current
	if err := options.Client.JSON(ctx, http.MethodGet, "/v1/config/history", nil, nil, &history); err != nil {
		return err
	}
	if options.JSON {
		return wharfprinter.JSON(options.Streams, history)
	}
	var rows [][]string
	for _, c := range history {
		rows = append(rows, []string{
			fmt.Sprint(c.Version), shortHash(c.Hash), strings.Join(c.Signers, ","), c.AppliedBy,
			c.AppliedAt.Format(time.RFC3339),
		})
	}
	return wharfprinter.Table(options.Streams, []string{"version", "hash", "signers", "applied by", "applied at"}, rows)
}

package wharffactory

import (
	"context"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Factory makes what commands depend on; tests replace its fields.
type Factory struct {
	Streams        *wharfstreams.Streams
	CallerClient   func(*cli.Command) (*wharfclient.Client, error)
	OperatorClient func(*cli.Command) (*wharfclient.Client, error)
}

// New returns the factory of the process, whose clients are set up by global flags and the environment.
func New(streams *wharfstreams.Streams) *Factory {
	return &Factory{Streams: streams, CallerClient: callers, OperatorClient: operators}
}

// ClientAction is what a command does with the client that it needs.
type ClientAction func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error

// CallerAction returns the action of a command that calls the callers' interface.
func (f *Factory) CallerAction(action ClientAction) cli.ActionFunc {
	return withClient(f.CallerClient, action)
}

// OperatorAction returns the action of a command that calls a host's operator interface.
func (f *Factory) OperatorAction(action ClientAction) cli.ActionFunc {
	return withClient(f.OperatorClient, action)
}

func withClient(connect func(*cli.Command) (*wharfclient.Client, error), action ClientAction) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, err := connect(c)
		if err != nil {
			return err
		}
		return action(ctx, c, client)
	}
}

// Flags returns the global flags that the clients read.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "callers", Usage: "`URL` of the callers' interface", Sources: cli.EnvVars("WHARF_CALLERS")},
		&cli.StringFlag{Name: "key", Usage: "caller's `KEY`", Sources: cli.EnvVars("WHARF_KEY")},
		&cli.StringFlag{Name: "operators", Usage: "`URL` of a host's operator interface", Sources: cli.EnvVars("WHARF_OPERATORS")},
		&cli.StringFlag{Name: "operator-token-file", Usage: "`FILE` that holds the operators' token", Sources: cli.EnvVars("WHARF_OPERATOR_TOKEN_FILE")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

func callers(c *cli.Command) (*wharfclient.Client, error) {
	if c.String("callers") == "" || c.String("key") == "" {
		return nil, wharfexit.UsageError("no callers' interface or no key is named", "give --callers and --key, or set WHARF_CALLERS and WHARF_KEY")
	}
	return &wharfclient.Client{BaseURL: c.String("callers"), Token: c.String("key"), HTTP: http.DefaultClient}, nil
}

func operators(c *cli.Command) (*wharfclient.Client, error) {
	const hint = "give --operators and --operator-token-file, or set WHARF_OPERATORS and WHARF_OPERATOR_TOKEN_FILE"
	if c.String("operators") == "" || c.String("operator-token-file") == "" {
		return nil, wharfexit.UsageError("no operator interface or no token is named", hint)
	}
	token, err := os.ReadFile(c.String("operator-token-file"))
	if err != nil {
		return nil, wharfexit.New(wharfexit.Usage, err, hint)
	}
	return &wharfclient.Client{BaseURL: c.String("operators"), Token: strings.TrimSpace(string(token)), HTTP: http.DefaultClient}, nil
}

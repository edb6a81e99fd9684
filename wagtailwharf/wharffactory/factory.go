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

// Factory provides the dependencies of commands. Tests replace its fields.
type Factory struct {
	Streams        *wharfstreams.Streams
	CallerClient   func(*cli.Command) (*wharfclient.Client, error)
	OperatorClient func(*cli.Command) (*wharfclient.Client, error)
}

// New returns a factory whose clients are configured by the global flags and environment variables.
func New(streams *wharfstreams.Streams) *Factory {
	return &Factory{Streams: streams, CallerClient: newCallerClient, OperatorClient: newOperatorClient}
}

// ClientAction is the action of a command that needs a client.
type ClientAction func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error

// CallerAction adapts an action that uses the caller API.
func (f *Factory) CallerAction(action ClientAction) cli.ActionFunc {
	return withClient(f.CallerClient, action)
}

// OperatorAction adapts an action that uses a host's operator API.
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

// Flags returns the global flags.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "callers", Usage: "`URL` of the caller API", Sources: cli.EnvVars("WHARF_CALLERS")},
		&cli.StringFlag{Name: "key", Usage: "caller's `KEY`", Sources: cli.EnvVars("WHARF_KEY")},
		&cli.StringFlag{
			Name: "operators", Usage: "`URL` of a host's operator API", Sources: cli.EnvVars("WHARF_OPERATORS"),
		},
		&cli.StringFlag{
			Name: "operator-token-file", Usage: "`FILE` that holds the operator token",
			Sources: cli.EnvVars("WHARF_OPERATOR_TOKEN_FILE"),
		},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

func newCallerClient(c *cli.Command) (*wharfclient.Client, error) {
	if c.String("callers") == "" || c.String("key") == "" {
		return nil, wharfexit.UsageError("URL of the caller API or key is missing",
			"give --callers and --key, or set WHARF_CALLERS and WHARF_KEY")
	}
	return &wharfclient.Client{BaseURL: c.String("callers"), Token: c.String("key"), HTTP: http.DefaultClient}, nil
}

func newOperatorClient(c *cli.Command) (*wharfclient.Client, error) {
	const hint = "give --operators and --operator-token-file, or set WHARF_OPERATORS and WHARF_OPERATOR_TOKEN_FILE"
	if c.String("operators") == "" || c.String("operator-token-file") == "" {
		return nil, wharfexit.UsageError("URL of the operator API or token file is missing", hint)
	}
	token, err := os.ReadFile(c.String("operator-token-file"))
	if err != nil {
		return nil, wharfexit.New(wharfexit.Usage, err, hint)
	}
	return &wharfclient.Client{
		BaseURL: c.String("operators"), Token: strings.TrimSpace(string(token)), HTTP: http.DefaultClient,
	}, nil
}

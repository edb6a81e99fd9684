package wharfchat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/protocol/wharfevents"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams   *wharfstreams.Streams
	Client    *wharfclient.Client
	Model     string
	Question  string
	MaxTokens int
}

// New returns the "chat" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "chat",
		Usage:     "ask a model a question and print its answer as it is generated",
		ArgsUsage: "TEXT",
		UsageText: "wagtailwharf chat --model solver-assist How fine should the mesh be?",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model", Required: true},
			&cli.IntFlag{Name: "max-tokens", Value: 64, Usage: "maximum `COUNT` of tokens in the answer"},
		},
		Action: f.CallerAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{
				Streams: f.Streams, Client: client, Model: c.String("model"),
				Question: strings.Join(c.Args().Slice(), " "), MaxTokens: c.Int("max-tokens"),
			})
		}),
	}
}

var errIncompleteAnswer = errors.New("the answer is incomplete")

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// Run sends the question and prints the answer as it arrives.
func Run(ctx context.Context, options *Options) error {
	if options.Question == "" {
		return wharfexit.UsageError("no question given", "give the question after the flags")
	}
	body, err := json.Marshal(chatRequest{
		Model: options.Model, Messages: []message{{Role: "user", Content: options.Question}},
		Stream: true, MaxTokens: options.MaxTokens,
	})
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := options.Client.Do(ctx, wharfclient.Call{
		Method: http.MethodPost, Path: "/v1/chat/completions", Header: header, Body: body,
	})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return printAnswer(options.Streams.Out, response.Body)
}

// printAnswer writes the text of a stream of completion chunks to out. It returns an error with code wharfexit.Unknown
// if the stream breaks off or reports an error.
func printAnswer(out io.Writer, stream io.Reader) error {
	events := wharfevents.NewReader(stream)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			_, err := fmt.Fprintln(out)
			return err
		}
		if err != nil {
			return wharfexit.New(wharfexit.Unknown, errIncompleteAnswer, "ask again")
		}
		chunk, err := wharfapi.ParseChunk(event)
		if err != nil || chunk.Error != nil {
			return wharfexit.New(wharfexit.Unknown, errIncompleteAnswer, "ask again")
		}
		if _, err := fmt.Fprint(out, chunk.Text()); err != nil {
			return err
		}
	}
}

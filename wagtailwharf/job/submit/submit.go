package wharfsubmit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"wagtailwharf.example/wagtailwharf/job/wharfbatches"
	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Options holds the command's arguments and dependencies.
type Options struct {
	Streams        *wharfstreams.Streams
	Client         *wharfclient.Client
	File           string
	RequestPath    string
	Window         string
	IdempotencyKey string
	JSON           bool
}

// New returns the "job submit" command.
func New(f *wharffactory.Factory) *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a JSONL file as a batch job",
		ArgsUsage: "FILE",
		UsageText: "wagtailwharf job submit cases.jsonl --window 8h --idempotency-key night-2026-12-04",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "endpoint", Value: "/v1/chat/completions", Usage: "request `PATH` of the items"},
			&cli.StringFlag{Name: "window", Value: "24h", Usage: "completion window as a `DURATION`"},
			&cli.StringFlag{
				Name: "idempotency-key", Usage: "`KEY` that makes a repeated submission return the same job",
			},
		},
		Action: f.CallerAction(func(ctx context.Context, c *cli.Command, client *wharfclient.Client) error {
			return Run(ctx, &Options{
				Streams: f.Streams, Client: client, File: c.Args().First(), RequestPath: c.String("endpoint"),
				Window: c.String("window"), IdempotencyKey: c.String("idempotency-key"), JSON: c.Bool("json"),
			})
		}),
	}
}

// Run uploads the file and submits the job. If standard output is no terminal, it prints only the job's ID.
func Run(ctx context.Context, options *Options) error {
	data, err := os.ReadFile(options.File)
	if err != nil {
		return wharfexit.New(wharfexit.Usage, err, "give a file with one JSON item per line")
	}
	fileID, err := upload(ctx, options, data)
	if err != nil {
		return err
	}
	request := map[string]string{
		"input_file_id": fileID, "endpoint": options.RequestPath, "completion_window": options.Window,
	}
	var batch wharfbatches.Batch
	if err := options.Client.JSON(ctx, http.MethodPost, "/v1/batches", idempotencyHeader(options), request,
		&batch); err != nil {
		return err
	}
	if !options.JSON && !options.Streams.Terminal {
		_, err := fmt.Fprintln(options.Streams.Out, batch.ID)
		return err
	}
	return wharfbatches.Print(options.Streams, options.JSON, batch)
}

func idempotencyHeader(options *Options) http.Header {
	header := http.Header{}
	if options.IdempotencyKey != "" {
		header.Set("Idempotency-Key", options.IdempotencyKey)
	}
	return header
}

// upload sends data as a multipart form and returns the ID of the created file.
func upload(ctx context.Context, options *Options, data []byte) (string, error) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	if err := writer.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := writer.CreateFormFile("file", filepath.Base(options.File))
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(part, bytes.NewReader(data)); err != nil {
		return "", err
	}
	if err := writer.Close(); err != nil {
		return "", err
	}
	header := idempotencyHeader(options)
	header.Set("Content-Type", writer.FormDataContentType())
	return postFile(ctx, options.Client, wharfclient.Call{
		Method: http.MethodPost, Path: "/v1/files", Header: header, Body: form.Bytes(),
	})
}

// postFile sends an upload request and returns the ID of the created file.
func postFile(ctx context.Context, client *wharfclient.Client, call wharfclient.Call) (string, error) {
	response, err := client.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var file struct {
		ID string `json:"id"`
	}
	err = json.NewDecoder(response.Body).Decode(&file)
	return file.ID, err
}

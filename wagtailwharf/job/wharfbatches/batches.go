package wharfbatches

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfprinter"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

// Batch is a batch job in the JSON form of the caller API.
type Batch struct {
	ID           string  `json:"id"`
	Status       string  `json:"status"`
	Endpoint     string  `json:"endpoint"`
	InputFileID  string  `json:"input_file_id"`
	OutputFileID *string `json:"output_file_id"`
	ErrorFileID  *string `json:"error_file_id"`
	CreatedAt    int64   `json:"created_at"`
	ExpiresAt    int64   `json:"expires_at"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Ended reports whether the job is no longer in progress.
func (b *Batch) Ended() bool {
	return b.Status != "in_progress"
}

// Get fetches the job with the given ID.
func Get(ctx context.Context, client *wharfclient.Client, id string) (*Batch, error) {
	var batch Batch
	err := client.JSON(ctx, http.MethodGet, "/v1/batches/"+url.PathEscape(id), nil, nil, &batch)
	return &batch, err
}

// Print prints jobs as JSON or as a table.
func Print(streams *wharfstreams.Streams, asJSON bool, batches ...Batch) error {
	if asJSON {
		return wharfprinter.JSON(streams, batches)
	}
	var rows [][]string
	for _, b := range batches {
		rows = append(rows, []string{
			b.ID, b.Status, fmt.Sprint(b.Counts.Total), fmt.Sprint(b.Counts.Completed), fmt.Sprint(b.Counts.Failed),
		})
	}
	return wharfprinter.Table(streams, []string{"job", "status", "items", "completed", "failed"}, rows)
}

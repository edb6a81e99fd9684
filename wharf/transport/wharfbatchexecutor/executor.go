package wharfbatchexecutor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfbatch"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/protocol/wharfevents"
	"wagtailwharf.example/wharf/state/wharfpoison"
	"wagtailwharf.example/wharf/transport/wharfendpointclient"
	"wagtailwharf.example/wharf/transport/wharfmetrics"
)

const (
	firstByteTimeout  = 30 * time.Second
	idleTimeout       = 10 * time.Second
	maxErrorBodyBytes = 1 << 16
)

// errNoFinish means that a stream ended without the reason why its text ends.
var errNoFinish = errors.New("stream ended without a finish reason")

// Executor runs batch items on endpoints as streams, so that a preempted item keeps the text generated so far.
// It implements wharfbatch.Executor.
type Executor struct {
	client  *wharfendpointclient.Client
	crashes *wharfpoison.Tracker
	metrics *wharfmetrics.Metrics
}

// New returns an executor. It refuses items that are like online requests under which endpoints have crashed; it records no
// crashes under items.
func New(
	client *wharfendpointclient.Client, crashes *wharfpoison.Tracker, metrics *wharfmetrics.Metrics,
) *Executor {
	return &Executor{client: client, crashes: crashes, metrics: metrics}
}

// Execute runs an item, resuming after the progress of earlier attempts. The error is wharfbatch.ErrPoison if online
// requests like the item crash endpoints, the cause of ctx if that has ended, and wraps wharfbatch.ErrEndpointLost or
// wharfbatch.ErrRetry otherwise.
func (e *Executor) Execute(ctx context.Context, task wharfbatch.Task) (wharfbatch.Outcome, error) {
	fingerprint := wharfpoison.Fingerprint(task.Organisation, task.Service, task.Line.Body)
	if e.crashes.Blocked(fingerprint, time.Now()) {
		return wharfbatch.Outcome{}, wharfbatch.ErrPoison
	}
	started := time.Now()
	outcome, err := e.run(ctx, task)
	if err != nil {
		return outcome, retryableError(ctx, err)
	}
	e.crashes.Clear(fingerprint)
	e.metrics.Record(task.Organisation, wharfmetrics.Batch, wharfmetrics.Total, time.Since(started))
	return outcome, nil
}

// retryableError wraps an error in wharfbatch.ErrEndpointLost if it is a broken connection, and in wharfbatch.ErrRetry
// otherwise. If ctx has ended, it returns the cause instead.
func retryableError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	kind := wharfbatch.ErrRetry
	if errors.Is(err, wharfendpointclient.ErrConnectionBroken) || errors.Is(err, wharfevents.ErrCutShort) {
		kind = wharfbatch.ErrEndpointLost
	}
	return fmt.Errorf("%w: %v", kind, err)
}

// run sends an item to its endpoint as a streaming request and collects the response.
func (e *Executor) run(ctx context.Context, task wharfbatch.Task) (wharfbatch.Outcome, error) {
	body, err := streamingBody(task.Line.Body, task.Progress.Tokens)
	if err != nil {
		return wharfbatch.Outcome{}, trace.Wrap(err)
	}
	response, err := e.client.Send(ctx, wharfendpointclient.Request{
		Endpoint:         task.Endpoint,
		Method:           http.MethodPost,
		Path:             task.Line.URL,
		Header:           http.Header{"Content-Type": {"application/json"}},
		Body:             body,
		RequestID:        task.RequestID,
		FirstByteTimeout: firstByteTimeout,
		IdleTimeout:      idleTimeout,
	})
	if err != nil {
		return wharfbatch.Outcome{Progress: task.Progress}, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errorOutcome(response)
	}
	return collectStream(response.Body, task)
}

// streamingBody returns the item's body as a streaming request that continues after the given number of tokens.
func streamingBody(body json.RawMessage, tokens int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, trace.Wrap(err)
	}
	fields["stream"] = json.RawMessage("true")
	if tokens > 0 {
		fields["continue_from"] = json.RawMessage(fmt.Sprint(tokens))
	}
	return json.Marshal(fields)
}

// errorOutcome returns a client error as the item's result, and an error for a server error or status 429, which may be
// temporary.
func errorOutcome(response *wharfendpointclient.Response) (wharfbatch.Outcome, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		return wharfbatch.Outcome{}, trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests {
		return wharfbatch.Outcome{}, fmt.Errorf("endpoint answered %d", response.StatusCode)
	}
	if !json.Valid(data) {
		data, _ = json.Marshal(string(data))
	}
	return wharfbatch.Outcome{StatusCode: response.StatusCode, Body: data}, nil
}

// collectStream reads the stream to its end and returns it as one response. If the stream breaks or the endpoint reports that it
// failed, the outcome holds the progress made. A stream that does not say why its text ends has lost its end.
func collectStream(stream io.Reader, task wharfbatch.Task) (wharfbatch.Outcome, error) {
	var text strings.Builder
	text.WriteString(task.Progress.Text)
	progress := task.Progress
	last := &wharfapi.Chunk{}
	finish := ""
	reader := wharfevents.NewReader(stream)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if finish != "" {
				return completedOutcome(task, last, text.String(), finish), nil
			}
			err = errNoFinish
		}
		if err != nil {
			progress.Text = text.String()
			return wharfbatch.Outcome{Progress: progress}, trace.Wrap(err)
		}
		chunk, err := wharfapi.ParseChunk(event)
		if err != nil || !chunk.BelongsTo(task.RequestID) {
			return wharfbatch.Outcome{Progress: task.Progress}, trace.Wrap(wharfendpointclient.ErrResponseMismatch)
		}
		if chunk.Failed() {
			progress.Text = text.String()
			return wharfbatch.Outcome{Progress: progress}, fmt.Errorf("endpoint sent an error event: %s", chunk.Error)
		}
		if chunk.Text() != "" {
			text.WriteString(chunk.Text())
			progress.Tokens++
		}
		if chunk.Finished() {
			finish = *chunk.Choices[0].FinishReason
		}
		last = chunk
	}
}

// completion is a response body of the inference API, without streaming.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completedOutcome returns the collected text as a completion or chat completion response.
func completedOutcome(task wharfbatch.Task, last *wharfapi.Chunk, text, finish string) wharfbatch.Outcome {
	choice := completionChoice{FinishReason: finish}
	object := "text_completion"
	if task.Line.URL == "/v1/chat/completions" {
		object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body, _ := json.Marshal(completion{
		ID: last.ID, Object: object, Model: last.Model, Choices: []completionChoice{choice}, Usage: last.Usage,
	})
	return wharfbatch.Outcome{StatusCode: http.StatusOK, Body: body}
}

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
	firstByte    = 30 * time.Second
	idle         = 10 * time.Second
	maxErrorBody = 1 << 16
)

// Executor runs batch items on endpoints as streams, so that one that gives way keeps what was generated.
// It implements wharfbatch.Executor.
type Executor struct {
	client  *wharfendpointclient.Client
	ledger  *wharfpoison.Tracker
	strike  func(fingerprint uint64, alone bool)
	metrics *wharfmetrics.Metrics
}

// New returns an executor; strike is told of each endpoint that breaks under an item.
func New(client *wharfendpointclient.Client, ledger *wharfpoison.Tracker, strike func(uint64, bool), metrics *wharfmetrics.Metrics) *Executor {
	return &Executor{client: client, ledger: ledger, strike: strike, metrics: metrics}
}

// Execute runs an item from where its progress ended.
func (i *Executor) Execute(ctx context.Context, task wharfbatch.Task) (wharfbatch.Outcome, error) {
	fingerprint := wharfpoison.Fingerprint(task.Organisation, task.Service, task.Line.Body)
	if i.ledger.Blocked(fingerprint, time.Now()) {
		return wharfbatch.Outcome{}, wharfbatch.ErrPoison
	}
	started := time.Now()
	outcome, err := i.run(ctx, task)
	switch {
	case err == nil:
		i.ledger.Clear(fingerprint)
		i.metrics.Record(task.Organisation, wharfmetrics.Batch, wharfmetrics.Total, time.Since(started))
	case errors.Is(err, wharfendpointclient.ErrConnectionBroken) || errors.Is(err, wharfevents.ErrCutShort):
		i.strike(fingerprint, false)
		if i.ledger.Blocked(fingerprint, time.Now()) {
			return outcome, wharfbatch.ErrPoison
		}
	}
	if err != nil {
		return outcome, retryable(ctx, err)
	}
	return outcome, nil
}

func retryable(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return fmt.Errorf("%w: %v", wharfbatch.ErrRetry, err)
}

func (i *Executor) run(ctx context.Context, task wharfbatch.Task) (wharfbatch.Outcome, error) {
	body, err := streamed(task.Line.Body, task.Progress.Tokens)
	if err != nil {
		return wharfbatch.Outcome{}, trace.Wrap(err)
	}
	response, err := i.client.Send(ctx, wharfendpointclient.Request{
		Endpoint:         task.Endpoint,
		Method:           http.MethodPost,
		Path:             task.Line.URL,
		Header:           http.Header{"Content-Type": {"application/json"}},
		Body:             body,
		RequestID:        task.RequestID,
		FirstByteTimeout: firstByte,
		IdleTimeout:      idle,
	})
	if err != nil {
		return wharfbatch.Outcome{Progress: task.Progress}, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refused(response)
	}
	return gather(response.Body, task)
}

// streamed returns the item's body as a stream that goes on after tokens that are already there.
func streamed(body json.RawMessage, tokens int) ([]byte, error) {
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

// refused returns the endpoint's refusal as the item's answer, unless it may pass.
func refused(response *wharfendpointclient.Response) (wharfbatch.Outcome, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
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

// gather reads the stream to its end and returns it as one answer.
func gather(stream io.Reader, task wharfbatch.Task) (wharfbatch.Outcome, error) {
	var text strings.Builder
	text.WriteString(task.Progress.Text)
	progress := task.Progress
	last := &wharfapi.Chunk{}
	finish := "stop"
	reader := wharfevents.NewReader(stream)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return whole(task, last, text.String(), finish), nil
		}
		if err != nil {
			progress.Text = text.String()
			return wharfbatch.Outcome{Progress: progress}, trace.Wrap(err)
		}
		chunk, err := wharfapi.ParseChunk(event)
		if err != nil || !chunk.BelongsTo(task.RequestID) {
			return wharfbatch.Outcome{Progress: task.Progress}, trace.Wrap(wharfendpointclient.ErrResponseMismatch)
		}
		if chunk.Text() != "" {
			text.WriteString(chunk.Text())
			progress.Tokens++
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].FinishReason != nil {
			finish = *chunk.Choices[0].FinishReason
		}
		last = chunk
	}
}

type answer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []answerChoice  `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func whole(task wharfbatch.Task, last *wharfapi.Chunk, text, finish string) wharfbatch.Outcome {
	choice := answerChoice{FinishReason: finish}
	object := "text_completion"
	if task.Line.URL == "/v1/chat/completions" {
		object = "chat.completion"
		choice.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body, _ := json.Marshal(answer{ID: last.ID, Object: object, Model: last.Model, Choices: []answerChoice{choice}, Usage: last.Usage})
	return wharfbatch.Outcome{StatusCode: http.StatusOK, Body: body}
}

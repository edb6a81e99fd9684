package wharfcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"wagtailwharf.example/wharf-standin/wharftokens"
	"wagtailwharf.example/wharf/protocol/wharfapi"
	"wagtailwharf.example/wharf/protocol/wharfevents"
	"wagtailwharf.example/wharf/protocol/wharfrefusal"
)

// Errors returned by Caller.
var (
	// ErrWrongAnswer is returned when the response is not the expected one for the prompt.
	ErrWrongAnswer = errors.New("wrong answer")
	// ErrRefused is wrapped by Refusal.
	ErrRefused = errors.New("refused")
)

// Caller is a client of one daemon with one API key.
type Caller struct {
	BaseURL string
	Key     string
	Client  *http.Client
}

// Refusal is an error response, with status 400 or above; it wraps ErrRefused.
type Refusal struct {
	Status     int
	Code       string
	RunState   wharfrefusal.RunState
	RetryAfter string
}

// Error returns the status, code and run state of the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with %d %s (%s)", r.Status, r.Code, r.RunState)
}

// Unwrap returns ErrRefused.
func (r *Refusal) Unwrap() error {
	return ErrRefused
}

// Timing holds the time to the first token, the gaps between tokens and the total time of a call.
type Timing struct {
	FirstToken time.Duration
	TokenGaps  []time.Duration
	Total      time.Duration
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// ChatBody returns the JSON body of a chat completion request.
func ChatBody(model, prompt string, maxTokens int, stream bool) []byte {
	body, _ := json.Marshal(chatRequest{
		Model: model, Messages: []message{{Role: "user", Content: prompt}}, MaxTokens: maxTokens, Stream: stream,
	})
	return body
}

// Do sends a request and returns the response; a status of 400 or above is returned as a *Refusal.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	var parsed struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.NewDecoder(response.Body).Decode(&parsed)
	return nil, &Refusal{
		Status:     response.StatusCode,
		Code:       parsed.Error.Code,
		RunState:   wharfrefusal.RunState(response.Header.Get(wharfrefusal.Header)),
		RetryAfter: response.Header.Get("Retry-After"),
	}
}

// DoJSON sends a request like Do and decodes the JSON response into result.
func (c *Caller) DoJSON(ctx context.Context, method, path string, header http.Header, body []byte, result any) error {
	response, err := c.Do(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(result)
}

// Chat sends a chat completion request, streaming or not, and verifies the text; the error wraps ErrWrongAnswer if it
// differs from the expected one.
func (c *Caller) Chat(ctx context.Context, model, prompt string, maxTokens int, stream bool) (Timing, error) {
	startedAt := time.Now()
	response, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", nil, ChatBody(model, prompt, maxTokens, stream))
	if err != nil {
		return Timing{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, timing, err := readResponse(response, stream, startedAt)
	if err != nil {
		return timing, err
	}
	if text != wharftokens.TextFor(prompt).FirstTokens(maxTokens) {
		return timing, fmt.Errorf("%w: %.60q", ErrWrongAnswer, text)
	}
	return timing, nil
}

// readResponse returns the generated text of a response and its timing, measured from started.
func readResponse(response *http.Response, stream bool, startedAt time.Time) (string, Timing, error) {
	if stream {
		return readStream(response.Body, startedAt)
	}
	data, err := io.ReadAll(response.Body)
	timing := Timing{FirstToken: time.Since(startedAt), Total: time.Since(startedAt)}
	if err != nil {
		return "", timing, err
	}
	var parsed struct {
		Choices []struct {
			Message message `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &parsed); err != nil || len(parsed.Choices) == 0 {
		return "", timing, fmt.Errorf("%w: %.60q", ErrWrongAnswer, data)
	}
	return parsed.Choices[0].Message.Content, timing, nil
}

func readStream(stream io.Reader, startedAt time.Time) (string, Timing, error) {
	var text strings.Builder
	var timing Timing
	last := startedAt
	events := wharfevents.NewReader(stream)
	for {
		event, err := events.Next()
		now := time.Now()
		if errors.Is(err, io.EOF) {
			timing.Total = now.Sub(startedAt)
			return text.String(), timing, nil
		}
		if err != nil {
			return text.String(), timing, err
		}
		chunk, err := wharfapi.ParseChunk(event)
		if err != nil {
			return text.String(), timing, err
		}
		if chunk.Error != nil {
			return text.String(), timing, fmt.Errorf("error event: %s", chunk.Error)
		}
		if text.Len() == 0 {
			timing.FirstToken = now.Sub(startedAt)
		} else {
			timing.TokenGaps = append(timing.TokenGaps, now.Sub(last))
		}
		last = now
		text.WriteString(chunk.Text())
	}
}

// Batch is a batch job as the API returns it.
type Batch struct {
	ID           string  `json:"id"`
	Status       string  `json:"status"`
	OutputFileID *string `json:"output_file_id"`
	ErrorFileID  *string `json:"error_file_id"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// BatchInput returns a batch input file (JSON lines) with count items.
func BatchInput(model, name string, count, maxTokens int) []byte {
	var lines bytes.Buffer
	for i := range count {
		prompt := BatchPrompt(name, i)
		fmt.Fprintf(&lines, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":%s}`+"\n",
			fmt.Sprintf("%s-%d", name, i), ChatBody(model, prompt, maxTokens, false))
	}
	return lines.Bytes()
}

// BatchPrompt returns the prompt of item i of BatchInput.
func BatchPrompt(name string, i int) string {
	return fmt.Sprintf("summarise case %d of %s", i, name)
}

// UploadFile uploads a batch input file and returns its ID.
func (c *Caller) UploadFile(ctx context.Context, lines []byte) (string, error) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	_ = writer.WriteField("purpose", "batch")
	part, _ := writer.CreateFormFile("file", "items.jsonl")
	_, _ = part.Write(lines)
	_ = writer.Close()
	var file struct {
		ID string `json:"id"`
	}
	header := http.Header{"Content-Type": {writer.FormDataContentType()}}
	err := c.DoJSON(ctx, http.MethodPost, "/v1/files", header, form.Bytes(), &file)
	return file.ID, err
}

// CreateBatch submits a batch job for an uploaded file; idempotencyKey may be empty.
func (c *Caller) CreateBatch(ctx context.Context, fileID, idempotencyKey string) (Batch, error) {
	body, _ := json.Marshal(map[string]string{
		"input_file_id": fileID, "endpoint": "/v1/chat/completions", "completion_window": "24h",
	})
	header := http.Header{}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	var batch Batch
	err := c.DoJSON(ctx, http.MethodPost, "/v1/batches", header, body, &batch)
	return batch, err
}

// GetBatch returns a batch job.
func (c *Caller) GetBatch(ctx context.Context, id string) (Batch, error) {
	var batch Batch
	err := c.DoJSON(ctx, http.MethodGet, "/v1/batches/"+id, nil, nil, &batch)
	return batch, err
}

// ReadResults returns the texts of an output or error file by custom ID, one for each line with that ID.
func (c *Caller) ReadResults(ctx context.Context, fileID string) (map[string][]string, error) {
	response, err := c.Do(ctx, http.MethodGet, "/v1/files/"+fileID+"/content", nil, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	results := map[string][]string{}
	decoder := json.NewDecoder(response.Body)
	for {
		var line struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body struct {
					Choices []struct {
						Message message `json:"message"`
					} `json:"choices"`
				} `json:"body"`
			} `json:"response"`
		}
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, err
		}
		text := ""
		if choices := line.Response.Body.Choices; len(choices) > 0 {
			text = choices[0].Message.Content
		}
		results[line.CustomID] = append(results[line.CustomID], text)
	}
}

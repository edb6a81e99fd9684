package wharfapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// RequestIDHeader names the request on its way to an endpoint and back.
const RequestIDHeader = "X-Request-Id"

// ErrMalformed says that a body is not what the interface asks for.
var ErrMalformed = errors.New("malformed body")

// Generation is what is read of a request for generated text; the rest of the body is passed on as it is.
type Generation struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
}

const maxTokens = 1_000_000

// ParseGeneration reads the body of a request for generated text, or returns ErrMalformed.
func ParseGeneration(body []byte) (*Generation, error) {
	var g Generation
	if err := json.Unmarshal(body, &g); err != nil {
		return nil, trace.Wrap(fmt.Errorf("%w: %v", ErrMalformed, err))
	}
	switch {
	case g.Model == "":
		return nil, trace.Wrap(fmt.Errorf("%w: model is missing", ErrMalformed))
	case len(g.Messages) == 0 && len(g.Prompt) == 0:
		return nil, trace.Wrap(fmt.Errorf("%w: neither messages nor prompt is given", ErrMalformed))
	case g.MaxTokens < 0 || g.MaxTokens > maxTokens:
		return nil, trace.Wrap(fmt.Errorf("%w: max_tokens must be from 0 to %d", ErrMalformed, maxTokens))
	}
	return &g, nil
}

const affinityBytes = 256

// Affinity returns the start of the prompt, by which requests that share it find the same endpoint.
func (g *Generation) Affinity() string {
	text := g.Prompt
	if len(g.Messages) > 0 {
		text = g.Messages
	}
	if len(text) < affinityBytes {
		return ""
	}
	return string(text[:affinityBytes])
}

// Chunk is what is read of one event of a stream or of a whole answer.
type Chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// Choice is one choice of a chunk.
type Choice struct {
	Text         string  `json:"text"`
	Delta        Message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Message is the text of a chat message.
type Message struct {
	Content string `json:"content"`
}

// ParseChunk reads one event or answer, or returns ErrMalformed.
func ParseChunk(data []byte) (*Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, trace.Wrap(fmt.Errorf("%w: %v", ErrMalformed, err))
	}
	return &c, nil
}

// BelongsTo reports whether the chunk belongs to a request: endpoints end their ids with the request's.
func (c *Chunk) BelongsTo(requestID string) bool {
	return strings.HasSuffix(c.ID, requestID)
}

// Text returns the generated text of the chunk.
func (c *Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content
}

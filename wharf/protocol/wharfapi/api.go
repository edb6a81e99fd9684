package wharfapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// RequestIDHeader is the header with the request ID, in requests to endpoints and in their responses.
const RequestIDHeader = "X-Request-Id"

// ErrMalformed means that a body does not conform to the API.
var ErrMalformed = errors.New("malformed body")

// Generation holds the fields of a text generation request that are read. The body itself is forwarded unchanged.
type Generation struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
}

const maxTokens = 1_000_000

// ParseGeneration parses and validates the body of a text generation request. Its errors wrap ErrMalformed.
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

const affinityPrefixBytes = 256

// Affinity returns the prefix of the prompt, so that requests with the same prefix can be sent to the same endpoint. It
// returns "" for a prompt that is shorter than the prefix.
func (g *Generation) Affinity() string {
	text := g.Prompt
	if len(g.Messages) > 0 {
		text = g.Messages
	}
	if len(text) < affinityPrefixBytes {
		return ""
	}
	return string(text[:affinityPrefixBytes])
}

// Chunk holds the fields of a stream event or of a whole response that are read.
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

// Message holds the text of a chat message.
type Message struct {
	Content string `json:"content"`
}

// Failed reports whether the chunk says that the endpoint failed.
func (c *Chunk) Failed() bool {
	return len(c.Error) > 0 && string(c.Error) != "null"
}

// Finished reports whether the chunk says why the text ends.
func (c *Chunk) Finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil && *c.Choices[0].FinishReason != ""
}

// ParseChunk parses a stream event or a whole response. Its errors wrap ErrMalformed.
func ParseChunk(data []byte) (*Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, trace.Wrap(fmt.Errorf("%w: %v", ErrMalformed, err))
	}
	return &c, nil
}

// BelongsTo reports whether the chunk belongs to a request. Endpoints put the request ID at the end of the chunk ID.
func (c *Chunk) BelongsTo(requestID string) bool {
	return strings.HasSuffix(c.ID, requestID)
}

// Text returns the generated text of the first choice.
func (c *Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content
}

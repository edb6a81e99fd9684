package wharfmodel

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"wagtailwharf.example/wharf-standin/wharftokens"
)

const completionIDPrefix = "cmpl-"

// generation produces the response to one request.
type generation struct {
	engine       *Engine
	writer       http.ResponseWriter
	crashed      chan struct{}
	request      *http.Request
	parsed       *request
	id           string
	text         wharftokens.Text
	firstWord    string // of the prompt; tokens are counted under it
	bodyID       string
	disconnectAt int // index of the token before which the connection closes; negative for never
	truncateAt   int // index of the token before which the response ends early; negative for never
	hang         bool
}

// applyFaults consumes the engine's pending faults and applies them to this response.
func (g *generation) applyFaults() {
	e := g.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	g.disconnectAt = -1
	g.truncateAt = -1
	if e.faults.MismatchedIDs > 0 {
		e.faults.MismatchedIDs--
		g.id += "-crossed"
		g.text = wharftokens.TextFor(g.id)
	}
	g.bodyID = g.id
	if e.faults.MismatchedBodyIDs > 0 {
		e.faults.MismatchedBodyIDs--
		g.bodyID += "-crossed"
		g.text = wharftokens.TextFor(g.bodyID)
	}
	if e.faults.Truncations > 0 {
		e.faults.Truncations--
		g.truncateAt = g.parsed.MaxTokens / 2
	}
	if e.faults.Disconnects > 0 {
		e.faults.Disconnects--
		g.disconnectAt = g.parsed.MaxTokens / 2
	}
	if e.faults.Hangs > 0 {
		e.faults.Hangs--
		g.hang = true
	}
}

// wait sleeps for d. It aborts the connection if the engine crashes or the client disconnects, and blocks until the
// client disconnects if the response must hang.
func (g *generation) wait(d time.Duration) {
	if g.hang || g.engine.isSilent() {
		<-g.request.Context().Done()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.crashed:
		panic(http.ErrAbortHandler)
	case <-g.request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) isSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Silent
}

// prefill waits for as long as the engine needs to process the uncached part of the prompt.
func (g *generation) prefill(prompt string) {
	g.engine.mu.Lock()
	cached := g.engine.cache.matchAndInsert(prompt)
	g.engine.mu.Unlock()
	tokens := (len(prompt) - cached) / bytesPerToken
	g.wait(time.Duration(tokens) * g.engine.options.PrefillTokenTime)
}

// writeStream sends the response as server-sent events, one token at a time.
func (g *generation) writeStream() {
	header := g.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(requestIDHeader, g.id)
	flusher, _ := g.writer.(http.Flusher)
	for i := g.parsed.ContinueFrom; i < g.parsed.MaxTokens; i++ {
		g.wait(g.engine.tokenInterval())
		if i == g.disconnectAt {
			panic(http.ErrAbortHandler)
		}
		if i == g.truncateAt {
			return
		}
		g.engine.countToken(g.firstWord)
		g.writeEvent(g.chunk(g.text.Token(i), ""))
		flusher.Flush()
	}
	g.writeEvent(g.chunk("", "length"))
	_, _ = fmt.Fprint(g.writer, "data: [DONE]\n\n")
}

func (g *generation) writeEvent(chunk any) {
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(g.writer, "data: %s\n\n", data)
}

func (g *generation) chunk(token, finishReason string) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finishReason != "" {
		choice["finish_reason"] = finishReason
	}
	object := "text_completion"
	if len(g.parsed.Messages) > 0 {
		object = "chat.completion.chunk"
		choice["delta"] = map[string]any{"content": token}
	} else {
		choice["text"] = token
	}
	chunk := map[string]any{
		"id": completionIDPrefix + g.bodyID, "object": object, "model": g.parsed.Model, "choices": []any{choice},
	}
	if finishReason != "" {
		chunk["usage"] = g.usage()
	}
	return chunk
}

func (g *generation) usage() map[string]int {
	prompt := len(g.parsed.text()) / bytesPerToken
	return map[string]int{
		"prompt_tokens":     prompt,
		"completion_tokens": g.parsed.MaxTokens,
		"total_tokens":      prompt + g.parsed.MaxTokens,
	}
}

// writeComplete sends the response as one JSON object after all tokens are generated.
func (g *generation) writeComplete() {
	for i := g.parsed.ContinueFrom; i < g.parsed.MaxTokens; i++ {
		g.wait(g.engine.tokenInterval())
		g.engine.countToken(g.firstWord)
	}
	content := g.text.FirstTokens(g.parsed.MaxTokens)
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	object := "text_completion"
	if len(g.parsed.Messages) > 0 {
		object = "chat.completion"
		choice["message"] = map[string]any{"role": "assistant", "content": content}
	} else {
		choice["text"] = content
	}
	body, _ := json.Marshal(map[string]any{
		"id": completionIDPrefix + g.bodyID, "object": object, "created": time.Now().Unix(), "model": g.parsed.Model,
		"choices": []any{choice}, "usage": g.usage(),
	})
	if g.truncateAt >= 0 {
		body = body[:len(body)/2]
	}
	g.writer.Header().Set("Content-Type", "application/json")
	g.writer.Header().Set(requestIDHeader, g.id)
	g.writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if g.disconnectAt >= 0 {
		_, _ = g.writer.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = g.writer.Write(body)
}

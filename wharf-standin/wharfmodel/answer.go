package wharfmodel

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"wagtailwharf.example/wharf-standin/wharftokens"
)

const answerPrefix = "cmpl-"

// answer is the generation of one request.
type answer struct {
	engine  *Engine
	writer  http.ResponseWriter
	broken  chan struct{}
	request *http.Request
	parsed  *request
	id      string
	text    wharftokens.Text
	word    string // first of the prompt
	bodyID  string
	cutAt   int // token before which the connection breaks, below 0 for none
	endAt   int // token before which the answer ends early, below 0 for none
	hang    bool
}

// shape takes the misbehaviour that applies to this answer.
func (a *answer) shape() {
	e := a.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	a.cutAt = -1
	a.endAt = -1
	if e.control.MismatchedIDs > 0 {
		e.control.MismatchedIDs--
		a.id += "-crossed"
		a.text = wharftokens.TextFor(a.id)
	}
	a.bodyID = a.id
	if e.control.MismatchedBodyIDs > 0 {
		e.control.MismatchedBodyIDs--
		a.bodyID += "-crossed"
		a.text = wharftokens.TextFor(a.bodyID)
	}
	if e.control.Truncations > 0 {
		e.control.Truncations--
		a.endAt = a.parsed.MaxTokens / 2
	}
	if e.control.Disconnects > 0 {
		e.control.Disconnects--
		a.cutAt = a.parsed.MaxTokens / 2
	}
	if e.control.Hangs > 0 {
		e.control.Hangs--
		a.hang = true
	}
}

// wait sleeps, and aborts the connection if the engine crashed or the client went away.
func (a *answer) wait(d time.Duration) {
	if a.hang || a.engine.silent() {
		<-a.request.Context().Done()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.broken:
		panic(http.ErrAbortHandler)
	case <-a.request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) silent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.control.Silent
}

func (a *answer) prefill(prompt string) {
	a.engine.mu.Lock()
	cached := a.engine.cache.hit(prompt)
	a.engine.mu.Unlock()
	tokens := (len(prompt) - cached) / wordBytes
	a.wait(time.Duration(tokens) * a.engine.options.PrefillTokenTime)
}

func (a *answer) stream() {
	header := a.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(requestIDHeader, a.id)
	flusher, _ := a.writer.(http.Flusher)
	for i := a.parsed.ContinueFrom; i < a.parsed.MaxTokens; i++ {
		a.wait(a.engine.interval())
		if i == a.cutAt {
			panic(http.ErrAbortHandler)
		}
		if i == a.endAt {
			return
		}
		a.engine.count(a.word)
		a.event(a.chunk(a.text.Token(i), ""))
		flusher.Flush()
	}
	a.event(a.chunk("", "length"))
	_, _ = fmt.Fprint(a.writer, "data: [DONE]\n\n")
}

func (a *answer) event(chunk any) {
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(a.writer, "data: %s\n\n", data)
}

func (a *answer) chunk(token, finish string) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	object := "text_completion"
	if len(a.parsed.Messages) > 0 {
		object = "chat.completion.chunk"
		choice["delta"] = map[string]any{"content": token}
	} else {
		choice["text"] = token
	}
	chunk := map[string]any{"id": answerPrefix + a.bodyID, "object": object, "model": a.parsed.Model, "choices": []any{choice}}
	if finish != "" {
		chunk["usage"] = a.usage()
	}
	return chunk
}

func (a *answer) usage() map[string]int {
	prompt := len(a.parsed.text()) / wordBytes
	return map[string]int{
		"prompt_tokens":     prompt,
		"completion_tokens": a.parsed.MaxTokens,
		"total_tokens":      prompt + a.parsed.MaxTokens,
	}
}

func (a *answer) whole() {
	for i := a.parsed.ContinueFrom; i < a.parsed.MaxTokens; i++ {
		a.wait(a.engine.interval())
		a.engine.count(a.word)
	}
	content := a.text.FirstTokens(a.parsed.MaxTokens)
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	object := "text_completion"
	if len(a.parsed.Messages) > 0 {
		object = "chat.completion"
		choice["message"] = map[string]any{"role": "assistant", "content": content}
	} else {
		choice["text"] = content
	}
	body, _ := json.Marshal(map[string]any{
		"id": answerPrefix + a.bodyID, "object": object, "created": time.Now().Unix(), "model": a.parsed.Model,
		"choices": []any{choice}, "usage": a.usage(),
	})
	if a.endAt >= 0 {
		body = body[:len(body)/2]
	}
	a.writer.Header().Set("Content-Type", "application/json")
	a.writer.Header().Set(requestIDHeader, a.id)
	a.writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if a.cutAt >= 0 {
		_, _ = a.writer.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = a.writer.Write(body)
}

package wharfapi

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseGeneration(t *testing.T) {
	tests := []struct {
		name, body string
		ok         bool
	}{
		{"chat", `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`, true},
		{"prompt", `{"model":"m","prompt":"x","temperature":0.5}`, true},
		{"no model", `{"prompt":"x"}`, false},
		{"nothing asked", `{"model":"m"}`, false},
		{"malformed", `{"model":`, false},
		{"wrong type", `{"model":1,"prompt":"x"}`, false},
		{"negative tokens", `{"model":"m","prompt":"x","max_tokens":-1}`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseGeneration([]byte(test.body))
			assert.Equal(t, err == nil, test.ok)
			assert.Assert(t, err == nil || errors.Is(err, ErrMalformed))
		})
	}
}

func TestAnswers(t *testing.T) {
	chunk, err := ParseChunk([]byte(`{"id":"cmpl-request-1","choices":[{"delta":{"content":"x"}}]}`))
	assert.NilError(t, err)
	assert.Assert(t, chunk.BelongsTo("request-1"))
	assert.Assert(t, !chunk.BelongsTo("request-2"))
	assert.Equal(t, chunk.Text(), "x")
}

func FuzzParseGeneration(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[]}`))
	f.Add([]byte(`{"model":"m","prompt":["a"],"max_tokens":9}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		g, err := ParseGeneration(body)
		if err == nil && (g.Model == "" || g.MaxTokens < 0) {
			t.Fatalf("accepted %+v", g)
		}
		if chunk, err := ParseChunk(body); err == nil {
			_ = chunk.Text()
		}
	})
}

package wharfbatchexecutor

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfbatch"
)

const (
	token  = `data: {"id":"cmpl-x","choices":[{"text":"b"}]}` + "\n\n"
	finish = `data: {"id":"cmpl-x","error":null,"choices":[{"text":"","finish_reason":"length"}]}` + "\n\n"
	failed = `data: {"id":"cmpl-x","error":{"message":"out of memory"}}` + "\n\n"
	done   = "data: [DONE]\n\n"
)

// TestFailureDoesNotCompleteAnItem guards against items that are completed with a part of their text because the endpoint that
// went on with them reported a failure, or ended the stream without the end of the text.
func TestFailureDoesNotCompleteAnItem(t *testing.T) {
	for name, c := range map[string]struct {
		stream   string
		complete bool
		tokens   int
	}{
		"whole":                      {token + finish + done, true, 0},
		"only the end is missing":    {finish + done, true, 0},
		"failure after a token":      {token + failed + done, false, 4},
		"failure":                    {failed + done, false, 3},
		"failure after the end":      {finish + failed + done, false, 3},
		"nothing":                    {done, false, 3},
		"without a finish reason":    {token + done, false, 4},
		"empty finish reason":        {token + strings.Replace(finish, "length", "", 1) + done, false, 4},
		"without the last event":     {token + finish, false, 4},
		"text of a failure":          {"out of memory\n\nsee the log\n\n", false, 3},
		"half of an event":           {token + token[:20], false, 4},
		"body of another kind, once": {`{"error":"out of memory"}`, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			task := wharfbatch.Task{RequestID: "x", Progress: wharfbatch.Progress{Tokens: 3, Text: "aaa"}}
			outcome, err := collectStream(strings.NewReader(c.stream), task)
			assert.Equal(t, err == nil, c.complete, "%v, %s", err, outcome.Body)
			assert.Equal(t, outcome.Progress.Tokens, c.tokens)
		})
	}
}

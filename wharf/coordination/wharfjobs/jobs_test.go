package wharfjobs

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validLine = `{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"x"}}`

func TestParseLines(t *testing.T) {
	lines, service, path, err := parseLines([]byte(validLine + "\n\n" + strings.Replace(validLine, `"a"`, `"b"`, 1)))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, service, "m")
	assert.Equal(t, path, "/v1/completions")
	_, _, _, err = parseLines([]byte(validLine + "\n" + `{"custom_id":"` + strings.Repeat("x", MaxLineBytes) + `"}`))
	assert.Assert(t, errors.Is(err, ErrBadInput))
	assert.ErrorContains(t, err, "line 2")
}

func FuzzParseLines(f *testing.F) {
	f.Add([]byte(validLine))
	f.Add([]byte(validLine + "\n{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines, service, _, err := parseLines(data)
		if err == nil && (len(lines) == 0 || service == "") {
			t.Fatal("parseLines accepted a file without items")
		}
		if err != nil && !errors.Is(err, ErrBadInput) {
			t.Fatalf("parseLines returned %v, not ErrBadInput", err)
		}
	})
}

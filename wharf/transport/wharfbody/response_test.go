package wharfbody

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestResponsesAreBounded guards against answers of other systems that take more memory than they may, and against short ones
// that are taken for whole.
func TestResponsesAreBounded(t *testing.T) {
	for _, c := range []struct {
		name   string
		length int64
		text   string
		want   error
	}{
		{"announced", 4, "text", nil},
		{"chunked", -1, "text", nil},
		{"empty", 0, "", nil},
		{"of the largest size", -1, "12345678", nil},
		{"announced too long", 9, "123456789", ErrTooLarge},
		{"too long", -1, "123456789", ErrTooLarge},
		{"cut short", 5, "text", io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			data, err := ReadResponse(&http.Response{ContentLength: c.length, Body: io.NopCloser(strings.NewReader(c.text))}, 8)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			if c.want == nil {
				assert.Equal(t, string(data), c.text)
			}
		})
	}
}

// TestEndlessResponseIsRefused guards against a body without end.
func TestEndlessResponseIsRefused(t *testing.T) {
	reader, writer := io.Pipe()
	go func() {
		for err := error(nil); err == nil; {
			_, err = writer.Write(make([]byte, 1<<16))
		}
	}()
	_, err := ReadResponse(&http.Response{ContentLength: -1, Body: reader}, 1<<20)
	assert.Assert(t, errors.Is(err, ErrTooLarge), "%v", err)
	assert.NilError(t, reader.Close())
}

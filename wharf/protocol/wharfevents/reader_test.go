package wharfevents

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readAll(stream string) (events []string, err error) {
	reader := NewReader(strings.NewReader(stream))
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

func TestNext(t *testing.T) {
	tests := []struct {
		name, stream string
		events       []string
		err          error
	}{
		{"whole", "data: a\n\ndata: b\n\ndata: [DONE]\n\n", []string{"a", "b"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\ndata: [DONE]\r\n\r\n", []string{"a"}, io.EOF},
		{"several lines", "data: a\ndata: b\n\ndata: [DONE]\n\n", []string{"a\nb"}, io.EOF},
		{"other fields", ": note\nevent: x\nid: 1\ndata:a\n\ndata: [DONE]\n\n", []string{"a"}, io.EOF},
		{"cut after an event", "data: a\n\n", []string{"a"}, ErrCutShort},
		{"cut inside an event", "data: a\n\ndata: b", []string{"a"}, ErrCutShort},
		{"[DONE] without an empty line", "data: a\n\ndata: [DONE]\n", []string{"a"}, ErrCutShort},
		{"too long", "data: " + strings.Repeat("x", MaxEventBytes+1), nil, ErrTooLong},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			events, err := readAll(test.stream)
			assert.DeepEqual(t, events, test.events)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
		})
	}
}

func FuzzNext(f *testing.F) {
	f.Add("data: a\n\ndata: [DONE]\n\n")
	f.Add("data: a\r\n\n:\n\ndata")
	f.Fuzz(func(t *testing.T, stream string) {
		_, err := readAll(stream)
		if errors.Is(err, io.EOF) && !strings.Contains(stream, "[DONE]") {
			t.Fatal("stream without [DONE] was accepted as complete")
		}
	})
}

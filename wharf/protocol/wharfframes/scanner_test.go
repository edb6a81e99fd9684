package wharfframes

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

const stream = "id: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\n: comment\n\nid: 3\r\ndata: three\r\n\r\n"

func collect(t *testing.T, source io.Reader) (numbers []int, raw, data string, rest string) {
	t.Helper()
	s := NewScanner(source)
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return numbers, raw, data, string(s.Buffered())
		}
		assert.NilError(t, err)
		raw += string(e.Raw)
		data += string(e.AppendData(nil)) + "|"
		if e.HasNumber {
			numbers = append(numbers, e.Number)
		}
	}
}

func TestNextReturnsWholeEvents(t *testing.T) {
	for name, source := range map[string]io.Reader{
		"at once":      strings.NewReader(stream),
		"byte by byte": iotest.OneByteReader(strings.NewReader(stream)),
		"in halves":    iotest.HalfReader(strings.NewReader(stream)),
	} {
		t.Run(name, func(t *testing.T) {
			numbers, raw, data, rest := collect(t, source)
			assert.DeepEqual(t, numbers, []int{1, 2, 3})
			assert.Equal(t, raw, stream)
			assert.Equal(t, data, "one|two\nlines||three|")
			assert.Equal(t, rest, "")
		})
	}
}

func TestIncompleteEventStaysBuffered(t *testing.T) {
	numbers, _, _, rest := collect(t, strings.NewReader("id: 7\ndata: seven\n\nid: 8\nda"))
	assert.DeepEqual(t, numbers, []int{7})
	assert.Equal(t, rest, "id: 8\nda")
}

func TestEndlessEventReturnsErrTooLong(t *testing.T) {
	s := NewScanner(io.LimitReader(endlessReader('x'), 2*maxEventBytes))
	_, err := s.Next()
	assert.Assert(t, errors.Is(err, ErrTooLong))
}

type endlessReader byte

func (n endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(n)
	}
	return len(b), nil
}

func FuzzScanner(f *testing.F) {
	f.Add([]byte(stream))
	f.Add([]byte("id:\n\n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewScanner(strings.NewReader(string(data)))
		var raw []byte
		for {
			e, err := s.Next()
			if err != nil {
				break
			}
			raw = append(raw, e.Raw...)
		}
		if string(raw)+string(s.Buffered()) != string(data) {
			t.Fatalf("bytes were lost: %q + %q of %q", raw, s.Buffered(), data)
		}
	})
}

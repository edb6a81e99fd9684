package wharfevents

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

// MaxEventBytes is the maximum length of an event in bytes, with the lines before it that belong to none.
const MaxEventBytes = 1 << 20

// Errors of a stream.
var (
	// ErrTooLong means that an event is longer than MaxEventBytes.
	ErrTooLong = errors.New("event is too long")
	// ErrCutShort means that the stream ended before its [DONE] event.
	ErrCutShort = errors.New("stream was cut short")
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Reader reads the data fields of events as defined by the WHATWG HTML standard, and ignores all other fields.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a reader of the events in stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{lines: bufio.NewReader(stream)}
}

// Next returns the data of the next event. It returns io.EOF after the [DONE] event, and ErrCutShort if the stream ends
// without one.
func (r *Reader) Next() ([]byte, error) {
	var data []byte
	for read := 0; ; {
		line, err := r.line()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if read += len(line) + 1; read > MaxEventBytes {
			return nil, trace.Wrap(ErrTooLong)
		}
		if len(line) == 0 {
			if data == nil {
				continue
			}
			if bytes.Equal(data, doneMarker) {
				return nil, io.EOF
			}
			return data, nil
		}
		field, found := bytes.CutPrefix(line, dataField)
		if !found {
			continue
		}
		field = bytes.TrimPrefix(field, []byte(" "))
		if data != nil {
			data = append(data, '\n')
		}
		data = append(data, field...)
	}
}

// line returns the next line without its line ending.
func (r *Reader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > MaxEventBytes {
			return nil, ErrTooLong
		}
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, ErrCutShort
		}
		return nil, err
	}
}

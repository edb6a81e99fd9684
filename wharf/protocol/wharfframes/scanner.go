package wharfframes

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	firstBuffer = 2 << 10 // bytes
	maxEvent    = 1 << 20 // bytes; engines send a few hundred
)

// ErrTooLong says that an event is longer than any that an endpoint should send.
var ErrTooLong = errors.New("event is too long")

var (
	boundary     = []byte("\n\n")
	boundaryCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
	dataField    = []byte("data:")
)

// Event is one whole event; Raw is valid until the next call of Next.
type Event struct {
	Raw    []byte // with the empty line that ends it
	Number int    // its id, if HasNumber
	// HasNumber reports whether the event has an id that is a number.
	HasNumber bool
}

// Scanner reads events.
type Scanner struct {
	source io.Reader
	buffer []byte
	start  int // of the event that is read
	end    int // of the bytes that are there
}

// NewScanner returns a scanner of a stream.
func NewScanner(source io.Reader) *Scanner {
	return &Scanner{source: source, buffer: make([]byte, firstBuffer)}
}

// Next returns the next event; errors are those of the stream and ErrTooLong.
func (s *Scanner) Next() (Event, error) {
	for {
		if length := s.whole(); length > 0 {
			raw := s.buffer[s.start : s.start+length]
			s.start += length
			return parse(raw), nil
		}
		if err := s.fill(); err != nil {
			return Event{}, err
		}
	}
}

// Ready reports whether Next returns an event without reading.
func (s *Scanner) Ready() bool {
	return s.whole() > 0
}

// Buffered returns the bytes after the last whole event.
func (s *Scanner) Buffered() []byte {
	return s.buffer[s.start:s.end]
}

func (s *Scanner) whole() int {
	held := s.buffer[s.start:s.end]
	length := 0
	if i := bytes.Index(held, boundary); i >= 0 {
		length = i + len(boundary)
	}
	if i := bytes.Index(held, boundaryCRLF); i >= 0 && (length == 0 || i+len(boundaryCRLF) < length) {
		length = i + len(boundaryCRLF)
	}
	return length
}

func (s *Scanner) fill() error {
	if s.start > 0 {
		copy(s.buffer, s.buffer[s.start:s.end])
		s.end -= s.start
		s.start = 0
	}
	if s.end == len(s.buffer) {
		if len(s.buffer) >= maxEvent {
			return ErrTooLong
		}
		s.buffer = append(s.buffer, make([]byte, len(s.buffer))...)
	}
	n, err := s.source.Read(s.buffer[s.end:])
	s.end += n
	if n > 0 {
		return nil
	}
	return err
}

func parse(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		number, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		e.Number, e.HasNumber = number, err == nil
	}
	return e
}

// AppendData appends the event's data, its lines separated by line feeds.
func (e Event) AppendData(to []byte) []byte {
	first := true
	for line := range bytes.Lines(e.Raw) {
		value, found := bytes.CutPrefix(line, dataField)
		if !found {
			continue
		}
		if !first {
			to = append(to, '\n')
		}
		first = false
		value = bytes.TrimPrefix(bytes.TrimRight(value, "\r\n"), []byte(" "))
		to = append(to, value...)
	}
	return to
}

package wharfframes

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	initialBufferBytes = 2 << 10
	maxEventBytes      = 1 << 20 // events of engines typically have a few hundred bytes
)

// ErrTooLong means that an event is longer than maxEventBytes.
var ErrTooLong = errors.New("event is too long")

var (
	boundary     = []byte("\n\n")
	boundaryCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
	dataField    = []byte("data:")
)

// Event is one block of a stream, up to an empty line. A block without a data field, such as a comment or empty lines, is no
// event by the standard of event streams. Raw is valid until the next call of Next.
type Event struct {
	Raw    []byte // including the empty line that ends the event
	Number int    // numeric ID, if HasNumber is set
	// HasNumber reports whether the event has a numeric ID.
	HasNumber bool
	HasData   bool // the event has a data field
}

// Scanner reads events from a stream.
type Scanner struct {
	source io.Reader
	buffer []byte
	start  int // of the next event in buffer
	end    int // of the bytes in buffer
}

// NewScanner returns a scanner that reads from source.
func NewScanner(source io.Reader) *Scanner {
	return &Scanner{source: source, buffer: make([]byte, initialBufferBytes)}
}

// Next returns the next event. It returns ErrTooLong, or an error of the stream such as io.EOF.
func (s *Scanner) Next() (Event, error) {
	for {
		if length := s.eventLength(); length > 0 {
			raw := s.buffer[s.start : s.start+length]
			s.start += length
			return parse(raw), nil
		}
		if err := s.fill(); err != nil {
			return Event{}, err
		}
	}
}

// Ready reports whether Next returns an event without reading from the stream.
func (s *Scanner) Ready() bool {
	return s.eventLength() > 0
}

// Buffered returns the bytes that have been read but not returned by Next, such as an incomplete event at the end.
func (s *Scanner) Buffered() []byte {
	return s.buffer[s.start:s.end]
}

// eventLength returns the length of the first whole event in the buffer, or 0 if there is none.
func (s *Scanner) eventLength() int {
	unread := s.buffer[s.start:s.end]
	length := 0
	if i := bytes.Index(unread, boundary); i >= 0 {
		length = i + len(boundary)
	}
	if i := bytes.Index(unread, boundaryCRLF); i >= 0 && (length == 0 || i+len(boundaryCRLF) < length) {
		length = i + len(boundaryCRLF)
	}
	return length
}

// fill reads more bytes, after making space in the buffer.
func (s *Scanner) fill() error {
	if s.start > 0 {
		copy(s.buffer, s.buffer[s.start:s.end])
		s.end -= s.start
		s.start = 0
	}
	if s.end == len(s.buffer) {
		if len(s.buffer) >= maxEventBytes {
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
		e.HasData = e.HasData || bytes.HasPrefix(line, dataField)
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		number, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		e.Number, e.HasNumber = number, err == nil
	}
	return e
}

// AppendData appends the event's data to a slice, with its lines separated by line feeds.
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

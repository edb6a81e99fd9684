package wharfbody

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"wagtailwharf.example/wharf/state/wharfmemory"
)

// Sentinel errors of a body. No memory is wharfmemory.ErrExhausted.
var (
	// ErrTooLarge means that the body is larger than the limit.
	ErrTooLarge = errors.New("the body is larger than the limit")
	// ErrTooSlow means that the body has not arrived in time or at the least rate.
	ErrTooSlow = errors.New("the body arrives too slowly")
	// ErrTruncated means that the body was cut short.
	ErrTruncated = errors.New("the body was cut short")
	// ErrGivenUp means that the reader's context ended before the body had arrived.
	ErrGivenUp = errors.New("the body was given up")
)

const (
	// firstStep is the size of the first buffer of a body whose length is not announced or larger than it.
	firstStep = wharfmemory.SmallBytes
	// rateWindow is the time in which a body must bring rateWindow × MinRate bytes. It is longer than some lost packets in a
	// row hold up a link.
	rateWindow = 10 * time.Second
	// settleBytes and settleTime bound what is read of a refused request's body before the refusal, to keep the connection.
	settleBytes = 64 << 10
	settleTime  = 250 * time.Millisecond
	// lingerBytes and lingerTime bound what is read after the refusal: closing a connection with unread data could reset it
	// before the caller has read the refusal.
	lingerBytes = 4 << 20
	lingerTime  = time.Second
)

// Options are a reader's memory and bounds.
type Options struct {
	Account *wharfmemory.Account
	MaxTime time.Duration // for a whole body
	MinRate int64         // bytes per second
}

// Reader reads bodies.
type Reader struct {
	options Options
}

// New returns a reader.
func New(options Options) *Reader {
	return &Reader{options: options}
}

// Body is a request's body with its memory, which Memory.Release gives back.
type Body struct {
	Data   []byte
	Memory *wharfmemory.Reservation
}

// arrival is the state of a body that arrives.
type arrival struct {
	reader     *Reader
	connection *http.ResponseController
	memory     *wharfmemory.Reservation
	source     io.Reader
	announced  int64 // -1 if the length is not known
	limit      int64
	deadline   time.Time
	ended      atomic.Bool // by the account or the context
	data       []byte
}

// Read reads a body of up to limit bytes until deadline. The memory must be released whether or not there is an error.
func (b *Reader) Read(
	ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time,
) (Body, error) {
	switch {
	case r.ContentLength == 0:
		return Body{Memory: b.options.Account.Open(nil)}, nil
	case r.ContentLength > limit:
		return Body{Memory: b.options.Account.Open(nil)}, ErrTooLarge
	}
	if latest := time.Now().Add(b.options.MaxTime); latest.Before(deadline) {
		deadline = latest
	}
	body, err := b.ReadPart(ctx, w, r, r.Body, limit, deadline)
	if err == nil {
		// The server goes on reading, to notice that the caller disconnects, and would take the deadline for that.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return body, err
}

// ReadPart reads a part of a request's body from source, as Read does, whatever Options.MaxTime says.
func (b *Reader) ReadPart(
	ctx context.Context, w http.ResponseWriter, r *http.Request, source io.Reader, limit int64, deadline time.Time,
) (Body, error) {
	a := &arrival{
		reader: b, connection: http.NewResponseController(w), source: source, announced: r.ContentLength, limit: limit,
		deadline: deadline,
	}
	a.memory = b.options.Account.Open(a.end)
	defer a.memory.Arrived()
	stop := context.AfterFunc(ctx, a.end)
	err := a.read(r.Context())
	stopped := stop()
	switch {
	case err == nil && stopped:
	case a.memory.Ended():
		err = wharfmemory.ErrExhausted
	case ctx.Err() != nil:
		err = ErrGivenUp
	}
	if err != nil {
		a.data = nil
		a.memory.Shrink(0)
	}
	return Body{Data: a.data, Memory: a.memory}, err
}

// end ends the reading from another goroutine.
func (a *arrival) end() {
	a.ended.Store(true)
	_ = a.connection.SetReadDeadline(time.Now())
}

// read reads the body into a.data.
func (a *arrival) read(ctx context.Context) error {
	windowStart, windowBytes := time.Now(), int64(0)
	wanted := int64(rateWindow/time.Second) * a.reader.options.MinRate
	for {
		if len(a.data) == cap(a.data) {
			if err := a.grow(ctx); err != nil {
				return err
			}
		}
		if windowBytes >= wanted {
			windowStart, windowBytes = time.Now(), 0
		}
		if err := a.limitRead(windowStart.Add(rateWindow)); err != nil {
			return err
		}
		n, err := a.source.Read(a.data[len(a.data):cap(a.data)])
		a.data = a.data[:len(a.data)+n]
		windowBytes += int64(n)
		a.memory.Received(n)
		switch {
		case int64(len(a.data)) > a.limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, new(*http.MaxBytesError)):
			return ErrTooLarge
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ErrTooSlow
		case err != nil:
			return ErrTruncated
		}
	}
}

// limitRead bounds the next read. One that end has ended must stay ended, so that the deadline is set before a.ended is read.
func (a *arrival) limitRead(windowEnd time.Time) error {
	if a.deadline.Before(windowEnd) {
		windowEnd = a.deadline
	}
	_ = a.connection.SetReadDeadline(windowEnd) // fails on a broken connection alone, as the read then does
	if a.ended.Load() {
		return ErrTooSlow
	}
	return nil
}

// grow reserves and allocates the next larger buffer. The last one of an announced body has exactly its length and a byte
// to see the end; a chunked body gets one byte more than the limit, to see that it is too large.
func (a *arrival) grow(ctx context.Context) error {
	most := a.limit + 1
	if a.announced >= 0 {
		most = a.announced + 1
	}
	size := min(most, max(firstStep, 2*int64(cap(a.data))))
	if err := a.memory.Grow(ctx, int64(cap(a.data))+size); err != nil {
		return err
	}
	larger := make([]byte, len(a.data), size)
	copy(larger, a.data)
	a.data = larger
	a.memory.Shrink(size)
	return nil
}

// Settle reads the rest of a small body that is not needed and reports whether it is at its end. If it is not, the connection
// is closed after the response, which is written while the body still arrives; Linger must follow it.
func (b *Reader) Settle(w http.ResponseWriter, r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	connection := http.NewResponseController(w)
	if r.ContentLength <= settleBytes && r.Header.Get("Expect") == "" {
		_ = connection.SetReadDeadline(time.Now().Add(settleTime))
		if _, err := io.CopyN(io.Discard, r.Body, settleBytes+1); errors.Is(err, io.EOF) {
			_ = connection.SetReadDeadline(time.Time{})
			return true
		}
	}
	w.Header().Set("Connection", "close")
	_ = connection.EnableFullDuplex()
	return false
}

// Linger reads on after a response, until the caller has had time to read it or closes the connection. It ends early if there
// are too many connections.
func (b *Reader) Linger(w http.ResponseWriter, r *http.Request) {
	connection := http.NewResponseController(w)
	_ = connection.Flush()
	_ = connection.SetReadDeadline(time.Now().Add(lingerTime))
	rest := b.options.Account.OpenRefused(func() { _ = connection.SetReadDeadline(time.Now()) })
	defer rest.Release()
	_, _ = io.CopyN(io.Discard, r.Body, lingerBytes) // the connection is closed either way
}

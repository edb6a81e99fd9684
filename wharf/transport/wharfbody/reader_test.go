package wharfbody

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/state/wharfmemory"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	limit   = 1 << 20
	account = 4 << 20
	rate    = 1 << 10
)

// connection is a response writer whose request body arrives over a pipe.
type connection struct {
	http.ResponseWriter
	net.Conn
}

func (c *connection) Write([]byte) (int, error) { return 0, nil }

// arrivalOf returns a request whose body is what the returned connection brings, with a length or -1.
func arrivalOf(t *testing.T, length int64) (*connection, *http.Request, net.Conn) {
	t.Helper()
	server, client := net.Pipe()
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	body := io.Reader(server)
	if length >= 0 {
		body = io.LimitReader(server, length)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", body)
	assert.NilError(t, err)
	request.ContentLength = length
	return &connection{Conn: server}, request, client
}

func newReader() (*Reader, *wharfmemory.Account) {
	memory := wharfmemory.New(account, 1<<16)
	return New(Options{Account: memory, MaxTime: time.Minute, MinRate: rate}), memory
}

// TestBodiesAreReadIntoBuffersThatFit guards against buffers of twice the body's size and against lost or added bytes.
func TestBodiesAreReadIntoBuffersThatFit(t *testing.T) {
	for _, size := range []int{0, 1, 100, firstStep - 1, firstStep, firstStep + 1, 100_000, limit - 1, limit} {
		synctest.Test(t, func(t *testing.T) { readWhole(t, size, true) })
		synctest.Test(t, func(t *testing.T) { readWhole(t, size, false) })
	}
}

// readWhole reads a body whose length is announced or not, and checks it and its memory.
func readWhole(t *testing.T, size int, announced bool) {
	t.Helper()
	length := int64(-1)
	if announced {
		length = int64(size)
	}
	b, memory := newReader()
	w, r, client := arrivalOf(t, length)
	text := strings.Repeat("abcdefg", size/7+1)[:size]
	go func() {
		_, _ = io.WriteString(client, text)
		if !announced {
			_ = client.Close()
		}
	}()
	body, err := b.Read(t.Context(), w, r, limit, time.Now().Add(time.Hour))
	assert.NilError(t, err)
	assert.Assert(t, string(body.Data) == text, "%d bytes, want %d", len(body.Data), size)
	if announced && size > 0 {
		assert.Equal(t, memory.Held(), int64(size+1))
	}
	assert.Assert(t, memory.Held() >= int64(cap(body.Data)) || cap(body.Data) < 32)
	body.Memory.Release()
	assert.Equal(t, memory.Held(), int64(0))
}

// TestBodiesEndAtTheirBounds guards against bodies that hold memory for as long as their callers like.
func TestBodiesEndAtTheirBounds(t *testing.T) {
	for _, c := range []struct {
		name     string
		length   int64
		pause    time.Duration // between two parts
		part     int
		deadline time.Duration
		want     error
		after    time.Duration // when reading ends, at the latest
	}{
		{"silent", 1000, time.Hour, 1, time.Hour, ErrTooSlow, rateWindow},
		{"trickle", limit, time.Second, rate / 2, time.Hour, ErrTooSlow, rateWindow},
		{"just fast enough", limit, time.Second, 2 * rate, time.Hour, ErrTooSlow, time.Minute},
		{"slower than its deadline", limit, time.Second, 2 * rate, 5 * time.Second, ErrTooSlow, 5 * time.Second},
		{"announced too large", limit + 1, 0, 1, time.Hour, ErrTooLarge, 0},
		{"without end", -1, 0, 1 << 16, time.Hour, ErrTooLarge, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, memory := newReader()
				w, r, client := arrivalOf(t, c.length)
				go func() {
					for {
						_, err := client.Write(make([]byte, c.part))
						if err != nil || !wharfpause.For(t.Context(), c.pause) {
							return
						}
					}
				}()
				started := time.Now()
				body, err := b.Read(t.Context(), w, r, limit, started.Add(c.deadline))
				assert.Assert(t, errors.Is(err, c.want), "%v", err)
				assert.Assert(t, time.Since(started) <= c.after, "%v", time.Since(started))
				body.Memory.Release()
				assert.Equal(t, memory.Held(), int64(0))
				_ = client.Close()
			})
		})
	}
}

// TestTruncatedAndGivenUpBodies guards against parts of bodies that are taken for whole ones.
func TestTruncatedAndGivenUpBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newReader()
		ctx, giveUp := context.WithCancel(t.Context())
		w, r, client := arrivalOf(t, 1000)
		go func() {
			_, _ = client.Write(make([]byte, 10))
			time.Sleep(time.Second)
			giveUp()
		}()
		body, err := b.Read(ctx, w, r, limit, time.Now().Add(time.Hour))
		assert.Assert(t, errors.Is(err, ErrGivenUp) && body.Data == nil, "%v", err)

		w, r, _ = arrivalOf(t, 1000)
		_ = w.Close()
		_, err = b.Read(t.Context(), w, r, limit, time.Now().Add(time.Hour))
		assert.Assert(t, errors.Is(err, ErrTruncated), "%v", err)
	})
}

// TestStalledBodiesGiveTheirMemory guards against bodies that stop short of their end and keep the memory from others.
func TestStalledBodiesGiveTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, memory := newReader()
		results := make(chan error, 8)
		for range cap(results) {
			w, r, client := arrivalOf(t, limit)
			go func() { _, _ = client.Write(make([]byte, limit-1)) }()
			go func() {
				body, err := b.Read(t.Context(), w, r, limit, time.Now().Add(time.Hour))
				body.Memory.Release()
				results <- err
			}()
		}
		time.Sleep(time.Second)
		w, r, client := arrivalOf(t, limit)
		go func() { _, _ = client.Write(make([]byte, limit)) }()
		body, err := b.Read(t.Context(), w, r, limit, time.Now().Add(time.Hour))
		assert.NilError(t, err)
		assert.Equal(t, len(body.Data), limit)
		body.Memory.Release()
		for range cap(results) {
			err := <-results
			assert.Assert(t, errors.Is(err, wharfmemory.ErrExhausted) || errors.Is(err, ErrTooSlow), "%v", err)
		}
		assert.Equal(t, memory.Held(), int64(0))
	})
}

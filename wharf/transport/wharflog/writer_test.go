package wharflog

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fakeOutput records what is written. Writes block until release is closed, if it is set.
type fakeOutput struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	release chan struct{}
	err     error
}

func (o *fakeOutput) Write(data []byte) (int, error) {
	if o.release != nil {
		<-o.release
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	return o.buffer.Write(data)
}

func serve(w *Writer) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Serve(ctx) }()
	return func() {
		cancel()
		<-done
	}
}

func TestLinesAreWrittenInOrderAndFlushedOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOutput{}
		w := New(o)
		stop := serve(w)
		line := []byte("one\n")
		_, err := w.Write(line)
		assert.NilError(t, err)
		copy(line, "two\n")
		_, err = w.Write(line)
		assert.NilError(t, err)
		stop()
		assert.Equal(t, o.buffer.String(), "one\ntwo\n")
		assert.Equal(t, w.Dropped(), int64(0))
	})
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOutput{release: make(chan struct{})}
		w := New(o)
		stop := serve(w)
		start := time.Now()
		for range 4 * maxQueuedLines { // more than the queue and one batch hold
			_, err := w.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, w.Dropped() > 0)
		close(o.release)
		synctest.Wait()
		_, err := w.Write([]byte("last\n"))
		assert.NilError(t, err)
		stop()
		assert.Assert(t, strings.Contains(o.buffer.String(), `"msg":"log lines dropped"`))
		assert.Assert(t, strings.HasSuffix(strings.TrimSpace(o.buffer.String()), "last") || strings.Contains(o.buffer.String(), "last\n"))
	})
}

func TestFailedWritesAreCounted(t *testing.T) {
	o := &fakeOutput{err: errors.New("broken pipe")}
	w := New(o)
	stop := serve(w)
	_, err := w.Write([]byte("line\n"))
	assert.NilError(t, err)
	stop()
	assert.Assert(t, w.Dropped() > 0)
}

package wharflog

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// maxQueuedLines is the length of the queue; lines beyond it are dropped and counted.
	maxQueuedLines = 4096
	// maxBatchBytes is the size at which a batch of queued lines is written.
	maxBatchBytes = 32 << 10
)

// Writer queues lines, which a single goroutine writes to the output. It is safe for concurrent use.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
}

// New returns a writer to output. Lines are written only while Serve runs.
func New(output io.Writer) *Writer {
	return &Writer{output: output, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of a line, or drops it if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full, plus the number of failed writes.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load() + w.failed.Load()
}

// Serve writes lines until ctx ends, then the lines left in the queue.
func (w *Writer) Serve(ctx context.Context) error {
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.flush(line)
		case <-ctx.Done():
			w.drain()
			return ctx.Err()
		}
		if dropped := w.Dropped(); dropped > reported {
			w.write([]byte(`{"level":"WARN","msg":"log lines dropped","lines":` +
				strconv.FormatInt(dropped-reported, 10) + "}\n"))
			reported = dropped
		}
	}
}

// flush writes a line together with those queued behind it.
func (w *Writer) flush(line []byte) {
	batch := line
	for len(batch) < maxBatchBytes {
		select {
		case next := <-w.lines:
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	w.write(batch)
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.flush(line)
		default:
			return
		}
	}
}

// write counts failed writes, since an error of the log output can be reported nowhere else.
func (w *Writer) write(data []byte) {
	if _, err := w.output.Write(data); err != nil {
		w.failed.Add(1)
	}
}

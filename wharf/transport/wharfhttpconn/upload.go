package wharfhttpconn

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// upload is a request that is written in the background.
type upload struct {
	done chan struct{}
	err  error // valid when done is closed
}

func startUpload(write func() error) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = write()
	}()
	return u
}

// succeeded reports whether the whole request has been written.
func (u *upload) succeeded() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// wait waits until the request is written and returns the error of writing it, or ErrIdleTimeout after the limit.
func (u *upload) wait(limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err
	case <-timer.C:
		return fmt.Errorf("%w to read the request", ErrIdleTimeout)
	}
}

// unmarkedBody is a body that ends with the connection. A reset is reported once for a connection: if the write of the request
// gets the error, the reader finds an ordinary end. So the end counts only if the request was written.
type unmarkedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read reads from the body, and fails at its end if the request was not written.
func (b *unmarkedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := b.conn.upload.wait(b.conn.readLimit); failure != nil {
		return n, failure
	}
	return n, err
}

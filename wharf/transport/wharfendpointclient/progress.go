package wharfendpointclient

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// progress follows the sending of a request, on one connection after the other if net/http sends it again. It is safe for
// concurrent use.
type progress struct {
	mu          sync.Mutex
	connections int           // that the request got
	writes      int           // that have ended
	err         error         // of the last write
	changed     chan struct{} // closed and replaced when a write ends
}

func newProgress() *progress {
	return &progress{changed: make(chan struct{})}
}

// trace returns a context whose request is followed.
func (p *progress) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.connections++
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.writes++
			p.err = info.Err
			close(p.changed)
			p.changed = make(chan struct{})
		},
	})
}

// connected reports whether the request got a connection.
func (p *progress) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections > 0
}

// written waits until the request was written, and returns the error of writing it, or the context's.
func (p *progress) written(ctx context.Context) error {
	for {
		p.mu.Lock()
		ended, err, changed := p.writes >= p.connections, p.err, p.changed
		p.mu.Unlock()
		if ended {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

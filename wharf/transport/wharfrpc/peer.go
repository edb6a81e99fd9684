package wharfrpc

import (
	"context"
	"errors"
	"net/netip"
	"sync"
)

// peer is a daemon that is called.
type peer struct {
	address netip.AddrPort
	mu      sync.Mutex
	current *session // nil if no connection is open
	dialing *dial    // nil if no connection is being opened
	closed  bool
}

// dial is an attempt to connect, which serves all calls that wait for it.
type dial struct {
	done    chan struct{} // closed at the end
	session *session
	err     error
}

// beginCall returns an open connection, on which the call counts as waiting. It opens one if there is none, and waits for it
// until ctx is done.
func (r *peer) beginCall(ctx context.Context, p *Pool) (*session, error) {
	for {
		s, d := r.connection(ctx, p)
		if s == nil {
			select {
			case <-d.done:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			if s = d.session; s == nil {
				return nil, d.err
			}
		}
		if s.begin() {
			return s, nil
		}
		r.forget(s)
	}
}

// connection returns the open connection, or the attempt to open one.
func (r *peer) connection(ctx context.Context, p *Pool) (*session, *dial) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil && r.dialing == nil {
		r.dialing = &dial{done: make(chan struct{})}
		go r.connect(context.WithoutCancel(ctx), p, r.dialing)
	}
	return r.current, r.dialing
}

func (r *peer) connect(ctx context.Context, p *Pool, d *dial) {
	client, err := p.dial(ctx, r.address)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer close(d.done)
	r.dialing = nil
	switch {
	case err != nil:
		d.err = err
	case r.closed:
		d.err = errors.Join(ErrNoReply, client.Close())
	default:
		d.session = &session{client: client}
		r.current = d.session
	}
}

// forget makes later calls open a new connection in place of s.
func (r *peer) forget(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == s {
		r.current = nil
	}
}

func (r *peer) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.current != nil {
		_ = r.current.client.Close()
	}
}

package wharfhttpconn

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialLimit bounds a new connection: many round trips between zones, and a small part of a caller's time.
	dialLimit = 400 * time.Millisecond
	// keepShare is the part of the endpoint's idle time after which a connection is not used any more.
	keepShare = 0.7
	// keepDefault is the idle time where the endpoint does not say one.
	keepDefault = 4 * time.Second
	// onceIdle is the idle time up to which a connection carries requests that may not be repeated: an endpoint may
	// close a connection that was idle for longer just as the request is sent.
	onceIdle = time.Second
	// leastPerEndpoint is the number of connections that a host may have to an endpoint, however many hosts there are.
	leastPerEndpoint = 4
	// sweepPeriod is the time between two looks for connections that were idle for too long.
	sweepPeriod = time.Second
)

// Pool keeps idle connections by address; it is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*Conn // the last used one at the end
	most   int                        // idle ones for each address
	swept  time.Time
	Dialed atomic.Int64 // new connections
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: map[netip.AddrPort][]*Conn{}, most: leastPerEndpoint}
}

// SetIdleLimit sets how many idle connections are kept to each endpoint: this host's part of what the endpoint accepts.
func (p *Pool) SetIdleLimit(accepted, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = max(leastPerEndpoint, accepted/max(1, hosts))
}

// Get returns an idle connection or a new one. Once asks for one on which a request that may not be repeated is safe.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, once bool) (*Conn, error) {
	for {
		c := p.take(address, once)
		if c == nil {
			p.Dialed.Add(1)
			return dial(ctx, address, dialLimit)
		}
		if c.quiet() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) take(address netip.AddrPort, once bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if once && now.Sub(c.idleFrom) > onceIdle {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// sweep closes connections that the endpoints are about to close.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepPeriod {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.expired(now) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (c *Conn) expired(now time.Time) bool {
	keep := c.keep
	if keep == 0 {
		keep = keepDefault
	}
	return now.Sub(c.idleFrom) > time.Duration(keepShare*float64(keep))
}

// HasIdle reports whether a connection to an address is idle that can carry a request.
func (p *Pool) HasIdle(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	return len(list) > 0 && !list[len(list)-1].expired(time.Now())
}

// Put takes a connection back after an answer that was read to its end, unless it can't carry another request.
func (p *Pool) Put(c *Conn, response *http.Response, keep time.Duration) {
	if response.Close || !c.bodyWritten() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.keep = keep
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleFrom = time.Now()
	if list := p.idle[c.Address]; len(list) < p.most {
		p.idle[c.Address] = append(list, c)
		return
	}
	c.Close()
}

// CloseIdle closes the idle connections to an address, which may have gone silent too.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = map[netip.AddrPort][]*Conn{}
}

package wharfhttpconn

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection. It allows for many round trips between zones, and leaves an online
	// request time to be answered by another endpoint within its objective.
	dialTimeout = 120 * time.Millisecond
	// probeTimeout bounds the opening of a connection that no request waits for.
	probeTimeout = time.Second
	// keepAliveFraction is the fraction of the endpoint's idle timeout after which a connection is no longer reused.
	keepAliveFraction = 0.7
	// defaultKeepAlive is the assumed idle timeout of endpoints that announce none.
	defaultKeepAlive = 4 * time.Second
	// nonRepeatableMaxIdle is the longest idle time of a connection that is reused for requests that must not be
	// repeated: an endpoint may close a connection that was idle for longer just as the request is sent.
	nonRepeatableMaxIdle = time.Second
	// minIdlePerEndpoint is how many idle connections a host may always keep to an endpoint, regardless of the number
	// of hosts.
	minIdlePerEndpoint = 4
	// maxRefused is the largest number of requests refused on a connection that is kept.
	maxRefused = 16
	// sweepPeriod is the interval between two sweeps for expired idle connections.
	sweepPeriod = time.Second
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	idle      map[netip.AddrPort][]*Conn // most recently used last
	maxIdle   int                        // for each address
	lastSweep time.Time
	Dialed    atomic.Int64 // number of connections opened
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[netip.AddrPort][]*Conn{}, maxIdle: minIdlePerEndpoint}
}

// SetIdleLimit sets how many idle connections are kept to each endpoint: this host's equal share of the connections
// that the endpoint accepts, but at least minIdlePerEndpoint.
func (p *Pool) SetIdleLimit(accepted, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = max(minIdlePerEndpoint, accepted/max(1, hosts))
}

// Get returns an idle connection for the request with an ID, or opens one. With nonRepeatable it reuses only a connection
// that was idle for at most nonRepeatableMaxIdle, since the request must not be sent twice. It does not reuse one on which
// the endpoint has refused or failed the same request: a second copy of that response would be taken for the next one.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, id string, nonRepeatable bool) (*Conn, error) {
	for {
		c := p.take(address, id, nonRepeatable)
		if c == nil {
			p.Dialed.Add(1)
			return dial(ctx, address, dialTimeout)
		}
		if c.reusable() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
}

// Probe opens a connection to an endpoint and keeps it for the next request. It returns an error that wraps ErrNotSent
// if that fails.
func (p *Pool) Probe(ctx context.Context, address netip.AddrPort) error {
	c, err := dial(ctx, address, probeTimeout)
	if err != nil {
		return err
	}
	p.Dialed.Add(1)
	p.keep(c)
	return nil
}

func (p *Pool) take(address netip.AddrPort, id string, nonRepeatable bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if nonRepeatable && now.Sub(c.idleSince) > nonRepeatableMaxIdle {
			return nil
		}
		if id == "" || !slices.Contains(c.refused, id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// sweep closes idle connections that the endpoints are about to close.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepPeriod {
		return
	}
	p.lastSweep = now
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
	keepAlive := c.keepAlive
	if keepAlive == 0 {
		keepAlive = defaultKeepAlive
	}
	return now.Sub(c.idleSince) > time.Duration(keepAliveFraction*float64(keepAlive))
}

// HasIdle reports whether there is an idle connection to an address that has not expired.
func (p *Pool) HasIdle(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	return len(list) > 0 && !list[len(list)-1].expired(time.Now())
}

// Put returns a connection to the pool after the response was read to its end. It closes a connection that cannot carry
// another request or exceeds the limit. keepAlive is the idle timeout announced by the endpoint, 0 if none.
func (p *Pool) Put(c *Conn, response *http.Response, keepAlive time.Duration) {
	if response.Close || len(c.refused) > maxRefused || !c.requestWritten() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.keepAlive = keepAlive
	p.keep(c)
}

// keep adds a connection to the idle ones, or closes it if there are enough.
func (p *Pool) keep(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	if list := p.idle[c.Address]; len(list) < p.maxIdle {
		p.idle[c.Address] = append(list, c)
		return
	}
	c.Close()
}

// CloseIdle closes the idle connections to an address, which may be dead if another connection to it timed out.
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

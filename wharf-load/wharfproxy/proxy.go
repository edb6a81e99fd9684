package wharfproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"wagtailwharf.example/wharf/state/wharfpause"
)

// bufferSize is the maximum number of bytes that are relayed at once.
const bufferSize = 32 << 10

// Faults holds the faults that a proxy injects into all its connections.
type Faults struct {
	Delay        time.Duration // added to each chunk of data
	DropToTarget bool          // hold back data from clients to the target
	DropToClient bool          // hold back data from the target to clients
	ResetNew     bool          // reset new connections
	// BlockedClients are client addresses whose data is held back in both directions.
	BlockedClients map[netip.Addr]bool
}

// Proxy relays connections to a target; it is safe for concurrent use.
type Proxy struct {
	address  netip.AddrPort
	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	target   netip.AddrPort
	faults   Faults
	changed  chan struct{} // closed when faults change
	conns    map[net.Conn]bool
}

// Start relays connections from a loopback address, whose port may be 0, to target until ctx is done.
func Start(ctx context.Context, listen, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		address: netip.MustParseAddrPort(listener.Addr().String()), listener: listener, target: target,
		changed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	go p.serve(ctx, listener)
	context.AfterFunc(ctx, func() {
		p.StopListening()
		p.ResetConnections()
	})
	return p, nil
}

// StopListening closes the listener, so that new connections are refused. Open connections stay.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// Listen reopens the listener after StopListening at the same address.
func (p *Proxy) Listen(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address.String())
	if err != nil {
		return err
	}
	p.listener = listener
	go p.serve(ctx, listener)
	return nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort {
	return p.address
}

// SetFaults replaces the current faults.
func (p *Proxy) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// ResetConnections closes all open connections with a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the connection is closed, which is harmless
	}
	_ = conn.Close()
}

func (p *Proxy) state() (Faults, chan struct{}, netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed, p.target
}

func (p *Proxy) serve(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener is closed by StopListening and when ctx is done
		}
		faults, _, target := p.state()
		if faults.ResetNew {
			reset(conn)
			continue
		}
		go p.relay(ctx, conn, target)
	}
}

func (p *Proxy) relay(ctx context.Context, client net.Conn, target netip.AddrPort) {
	defer p.track(client)()
	upstream, err := net.DialTimeout("tcp", target.String(), time.Second)
	if err != nil {
		reset(client)
		return
	}
	defer p.track(upstream)()
	var copies sync.WaitGroup
	from := netip.MustParseAddrPort(client.RemoteAddr().String()).Addr()
	copies.Go(func() {
		p.copy(ctx, upstream, client, func(f Faults) bool { return f.DropToTarget || f.BlockedClients[from] })
	})
	copies.Go(func() {
		p.copy(ctx, client, upstream, func(f Faults) bool { return f.DropToClient || f.BlockedClients[from] })
	})
	copies.Wait()
	_ = client.Close()
	_ = upstream.Close()
}

// track records a connection as open until release is called.
func (p *Proxy) track(conn net.Conn) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, conn)
	}
}

// copy relays data in one direction until the connection ends. Dropped data is held back rather than discarded, since
// TCP would retransmit it after the fault. EOF is forwarded as a half-close; any error resets both sides.
func (p *Proxy) copy(ctx context.Context, to, from net.Conn, dropped func(Faults) bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if !p.awaitForwarding(ctx, dropped) {
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other side may have closed the connection
			}
			return
		}
		if err != nil {
			break
		}
	}
	reset(to)
	reset(from)
}

// awaitForwarding waits until no fault holds data back, plus the delay; it returns false if ctx is done first.
func (p *Proxy) awaitForwarding(ctx context.Context, dropped func(Faults) bool) bool {
	for {
		faults, changed, _ := p.state()
		if !dropped(faults) {
			return faults.Delay == 0 || wharfpause.For(ctx, faults.Delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

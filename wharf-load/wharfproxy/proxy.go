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

// chunk is the size in bytes of one read that is relayed.
const chunk = 32 << 10

// Faults are what a proxy does to all its connections at present.
type Faults struct {
	Delay        time.Duration // each piece is relayed so much later
	DropToTarget bool          // nothing goes from callers to the target
	DropToClient bool          // nothing goes from the target to callers
	ResetNew     bool          // new connections are reset
	// BlockedClients are addresses from which nothing comes through, and nothing goes back to.
	BlockedClients map[netip.Addr]bool
}

// Proxy relays connections to a target; it is safe for concurrent use.
type Proxy struct {
	address  netip.AddrPort
	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	target   netip.AddrPort
	faults   Faults
	changed  chan struct{} // closed at the next change of faults
	open     map[net.Conn]bool
}

// Start relays from an address of loopback, whose port may be 0, until ctx ends; the error is the operating system's.
func Start(ctx context.Context, listen, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		address: netip.MustParseAddrPort(listener.Addr().String()), listener: listener, target: target,
		changed: make(chan struct{}), open: map[net.Conn]bool{},
	}
	go p.serve(ctx, listener)
	context.AfterFunc(ctx, func() {
		p.StopListening()
		p.ResetConnections()
	})
	return p, nil
}

// StopListening has new connections refused, as an address does at which no process listens.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// Listen ends Refuse; the error is the operating system's.
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

// Address returns where the proxy listens.
func (p *Proxy) Address() netip.AddrPort {
	return p.address
}

// SetFaults replaces the present faults.
func (p *Proxy) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetTarget changes where new connections go.
func (p *Proxy) SetTarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// ResetConnections resets all open connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		reset(conn)
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that has ended needs none
	}
	_ = conn.Close()
}

func (p *Proxy) current() (Faults, chan struct{}, netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed, p.target
}

func (p *Proxy) serve(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener is closed by Refuse and when ctx ends
		}
		faults, _, target := p.current()
		if faults.ResetNew {
			reset(conn)
			continue
		}
		go p.relay(ctx, conn, target)
	}
}

func (p *Proxy) relay(ctx context.Context, caller net.Conn, target netip.AddrPort) {
	defer p.hold(caller)()
	back, err := net.DialTimeout("tcp", target.String(), time.Second)
	if err != nil {
		reset(caller)
		return
	}
	defer p.hold(back)()
	var ways sync.WaitGroup
	from := netip.MustParseAddrPort(caller.RemoteAddr().String()).Addr()
	ways.Go(func() {
		p.copy(ctx, back, caller, func(f Faults) bool { return f.DropToTarget || f.BlockedClients[from] })
	})
	ways.Go(func() {
		p.copy(ctx, caller, back, func(f Faults) bool { return f.DropToClient || f.BlockedClients[from] })
	})
	ways.Wait()
	_ = caller.Close()
	_ = back.Close()
}

// hold keeps a connection among the open ones until the function that it returns is called.
func (p *Proxy) hold(conn net.Conn) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[conn] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, conn)
	}
}

// copy relays one way until the connection ends; what is dropped is held back, as TCP would repeat it later. An end is
// passed on as an end, anything else as a reset of both sides.
func (p *Proxy) copy(ctx context.Context, to, from net.Conn, dropped func(Faults) bool) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if !p.pass(ctx, dropped) {
			break
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite() // the other side may have gone meanwhile
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

// pass waits until a piece may go on, and reports whether it may before ctx ends.
func (p *Proxy) pass(ctx context.Context, dropped func(Faults) bool) bool {
	for {
		faults, changed, _ := p.current()
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

package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
)

// link relays TCP connections to a target. Connections can be made silent: nothing passes on them any more, while new ones work.
type link struct {
	address netip.AddrPort
	mu      sync.Mutex
	open    map[*pair]bool
	cut     bool // nothing passes, also on new connections
	healed  chan struct{}
}

// pair is a connection of a daemon and that to the target.
type pair struct {
	silent chan struct{} // closed when the connection is silent for good
}

func newLink(ctx context.Context, ip netip.Addr, target netip.AddrPort) (*link, error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return nil, err
	}
	l := &link{address: netip.MustParseAddrPort(listener.Addr().String()), open: map[*pair]bool{}, healed: make(chan struct{})}
	close(l.healed)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.relay(conn, target)
		}
	}()
	return l, nil
}

func (l *link) relay(from net.Conn, target netip.AddrPort) {
	to, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = from.Close()
		return
	}
	p := &pair{silent: make(chan struct{})}
	l.mu.Lock()
	l.open[p] = true
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(p, to, from) })
	copies.Go(func() { l.copy(p, from, to) })
	copies.Wait()
	l.mu.Lock()
	delete(l.open, p)
	l.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}

// copy passes bytes on in one direction. While the link is cut they are held back; on a silent connection they are lost.
func (l *link) copy(p *pair, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		healed := l.healed
		l.mu.Unlock()
		<-healed
		select {
		case <-p.silent:
			if err == nil {
				continue
			}
			_ = from.Close() // the other side hears nothing of it until this side's process closes its own
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
				return
			}
			_ = to.Close()
			return
		}
	}
}

// silence makes all open connections silent for good, and returns their number.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for p := range l.open {
		select {
		case <-p.silent:
		default:
			close(p.silent)
			count++
		}
	}
	return count
}

// setCut cuts the link or heals it. What was sent meanwhile passes when it is healed.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.healed = make(chan struct{})
		return
	}
	close(l.healed)
}

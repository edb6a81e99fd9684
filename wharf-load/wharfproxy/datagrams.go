package wharfproxy

import (
	"context"
	"net"
	"time"
)

// maxDatagram is the size of the receive buffer in bytes.
const maxDatagram = 64 << 10

// RelayDatagrams also relays UDP datagrams from the proxy's address to its target until ctx is done. Unlike TCP data,
// datagrams that a fault drops are lost.
func (p *Proxy) RelayDatagrams(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.Address()))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go p.relayDatagrams(conn)
	return nil
}

func (p *Proxy) relayDatagrams(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the connection is closed when ctx is done
		}
		faults, _, target := p.state()
		if faults.DropToTarget || faults.ResetNew || faults.BlockedClients[from.Addr().Unmap()] {
			continue
		}
		if faults.Delay == 0 {
			_, _ = conn.WriteToUDPAddrPort(buffer[:n], target) // a failed write counts as a lost datagram
			continue
		}
		delayed := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(faults.Delay, func() { _, _ = conn.WriteToUDPAddrPort(delayed, target) })
	}
}

package wharfproxy

import (
	"context"
	"net"
	"time"
)

// largestDatagram bounds a datagram in bytes.
const largestDatagram = 64 << 10

// RelayDatagrams relays datagrams too, from the same address and to the same target, until ctx ends. Those that a fault
// drops are lost.
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
	buffer := make([]byte, largestDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // the connection is closed when ctx ends
		}
		faults, _, target := p.current()
		if faults.DropToTarget || faults.ResetNew || faults.BlockedClients[from.Addr().Unmap()] {
			continue
		}
		if faults.Delay == 0 {
			_, _ = conn.WriteToUDPAddrPort(buffer[:n], target) // one that is lost is what datagrams are for
			continue
		}
		late := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(faults.Delay, func() { _, _ = conn.WriteToUDPAddrPort(late, target) })
	}
}

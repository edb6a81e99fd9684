package wharfproxy

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	shortWait = 100 * time.Millisecond
	longWait  = 5 * time.Second
)

// startEchoServer starts a TCP echo server and returns its address.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a text and returns the response, of the same length, that arrives within a time.
func exchange(conn net.Conn, text string, within time.Duration) (string, error) {
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return "", err
	}
	buffer := make([]byte, len(text))
	n, err := io.ReadFull(conn, buffer)
	return string(buffer[:n]), err
}

func startProxy(t *testing.T) *Proxy {
	t.Helper()
	p, err := Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), startEchoServer(t))
	assert.NilError(t, err)
	return p
}

func TestRelayForwardsDataAndEOF(t *testing.T) {
	conn := dial(t, startProxy(t))
	text, err := exchange(conn, "hello", longWait)
	assert.NilError(t, err)
	assert.Equal(t, text, "hello")
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	_, err = conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults Faults
	}{
		{"requests are dropped", Faults{DropToTarget: true}},
		{"responses are dropped", Faults{DropToClient: true}},
		{"delayed", Faults{Delay: 2 * shortWait}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startProxy(t)
			conn := dial(t, p)
			p.SetFaults(c.faults)
			text, err := exchange(conn, "hello", shortWait)
			assert.Assert(t, err != nil, "got %q", text)
			p.SetFaults(Faults{})
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(longWait)))
			buffer := make([]byte, len("hello"))
			_, err = io.ReadFull(conn, buffer)
			assert.NilError(t, err, "data held back is relayed after the fault")
			assert.Equal(t, string(buffer), "hello")
		})
	}
}

func TestResetConnections(t *testing.T) {
	p := startProxy(t)
	conn := dial(t, p)
	_, err := exchange(conn, "hello", longWait)
	assert.NilError(t, err)
	p.ResetConnections()
	_, err = exchange(conn, "hello", longWait)
	assert.ErrorContains(t, err, "reset")
	p.SetFaults(Faults{ResetNew: true})
	conn, err = net.Dial("tcp", p.Address().String())
	if err == nil { // the reset may arrive before or after Dial has returned
		_, err = exchange(conn, "hello", longWait)
		_ = conn.Close()
	}
	assert.ErrorContains(t, err, "reset")
}

func TestStopListeningAndListen(t *testing.T) {
	p := startProxy(t)
	p.StopListening()
	p.StopListening()
	_, err := net.Dial("tcp", p.Address().String())
	assert.ErrorContains(t, err, "refused")
	assert.NilError(t, p.Listen(t.Context()))
	assert.NilError(t, p.Listen(t.Context()))
	text, err := exchange(dial(t, p), "hello", longWait)
	assert.NilError(t, err)
	assert.Equal(t, text, "hello")
}

func TestBlockedClients(t *testing.T) {
	p := startProxy(t)
	p.SetFaults(Faults{BlockedClients: map[netip.Addr]bool{netip.MustParseAddr("127.0.0.1"): true}})
	_, err := exchange(dial(t, p), "hello", shortWait)
	assert.ErrorContains(t, err, "timeout")
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	other, err := dialer.Dial("tcp", p.Address().String())
	assert.NilError(t, err)
	defer func() { _ = other.Close() }()
	_, err = exchange(other, "hello", longWait)
	assert.NilError(t, err)
}

func TestDatagrams(t *testing.T) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = target.Close() }()
	p, err := Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"),
		netip.MustParseAddrPort(target.LocalAddr().String()))
	assert.NilError(t, err)
	assert.NilError(t, p.RelayDatagrams(t.Context()))
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.Address()))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	arrives := func(text string, within time.Duration) error {
		_, err := io.WriteString(conn, text)
		assert.NilError(t, err)
		assert.NilError(t, target.SetReadDeadline(time.Now().Add(within)))
		buffer := make([]byte, len(text))
		n, _, err := target.ReadFromUDPAddrPort(buffer)
		if err == nil {
			assert.Equal(t, string(buffer[:n]), text)
		}
		return err
	}
	assert.NilError(t, arrives("first", longWait))
	p.SetFaults(Faults{BlockedClients: map[netip.Addr]bool{netip.MustParseAddr("127.0.0.1"): true}})
	assert.ErrorContains(t, arrives("lost", shortWait), "timeout")
	p.SetFaults(Faults{Delay: shortWait})
	start := time.Now()
	assert.NilError(t, arrives("late", longWait))
	assert.Assert(t, time.Since(start) >= shortWait)
}

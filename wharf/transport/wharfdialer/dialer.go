package wharfdialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay unacknowledged before a connection breaks (TCP user timeout, RFC 5482).
// It is several times the longest round trip between zones, and less than the time within which a host must be
// considered failed.
const userTimeout = 2 * time.Second

// Dial opens a connection with userTimeout and without keep-alive probes. ctx bounds only the dial.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

package wharfidle

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Readable reports whether a socket has data, or a connection to accept, that the process has not taken from the kernel.
func Readable(socket syscall.Conn) (bool, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, err
	}
	ready, polled := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		for {
			ready, polled = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
			if !errors.Is(polled, unix.EINTR) {
				return
			}
		}
	})
	return ready > 0, errors.Join(err, polled)
}

// readable reports whether a connection has unread data. It returns false for one that has no socket.
func readable(conn net.Conn) bool {
	raw, ok := socket(conn).(syscall.Conn)
	if !ok {
		return false
	}
	unread, err := Readable(raw)
	if err != nil {
		klog.V(1).InfoS("failed to see whether a connection has unread data", "error", err.Error())
	}
	return unread
}

// socket returns the connection below TLS, or conn itself without TLS.
func socket(conn net.Conn) net.Conn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return wrapped.NetConn()
	}
	return conn
}

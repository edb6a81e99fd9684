package wharfservice

import (
	"net/http"
	"syscall"
	"time"

	"wagtailwharf.example/wharf/transport/wharfidle"
)

const (
	// sideTimeout bounds the time for one request of a side server, and how long a connection may stay idle. The load balancer
	// asks once a second.
	sideTimeout = 5 * time.Second
	// sideConnections is the largest number of connections of a side server. Several load balancers and collectors of metrics
	// need one each.
	sideConnections = 16
	sideHeaderBytes = 8 << 10
)

// NewSideServer returns a server of a port for checks of readiness or for metrics, whose clients are not trusted: a few
// connections, short requests without a body that matters, little time.
func NewSideServer(handler http.Handler) *http.Server {
	connections := wharfidle.New(func() time.Duration { return sideTimeout })
	connections.Bound(sideConnections, func() bool { return false })
	return &http.Server{
		Handler: handler, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout, IdleTimeout: sideTimeout,
		MaxHeaderBytes: sideHeaderBytes, ConnState: connections.Track,
	}
}

// OpenFiles returns the number of descriptors that the process may open.
func OpenFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultOpenFiles
	}
	return int(min(limit.Cur, maxOpenFiles))
}

const (
	// defaultOpenFiles is assumed if the system does not report its limit.
	defaultOpenFiles = 1024
	// maxOpenFiles stands for a limit of infinity.
	maxOpenFiles = 1 << 20
)

package wharfservice

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/transport/wharfidle"
)

// Service is a named part of a daemon that runs until its context is done.
type Service struct {
	Name string
	Run  func(context.Context) error
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String returns the service's name, which suture uses in its events.
func (s Service) String() string { return s.Name }

// NewSupervisor returns a supervisor with separate restart limits for control and traffic services. A panic terminates
// the process, because its state cannot be trusted afterwards.
func NewSupervisor(control, traffic []Service) *suture.Supervisor {
	spec := suture.Spec{PassThroughPanics: true, EventHook: logEvent}
	root := suture.New("wagtailwharfd", spec)
	root.Add(group("control", spec, control))
	root.Add(group("traffic", spec, traffic))
	return root
}

// group returns a supervisor of the given services.
func group(name string, spec suture.Spec, services []Service) *suture.Supervisor {
	supervisor := suture.New(name, spec)
	for _, s := range services {
		supervisor.Add(s)
	}
	return supervisor
}

func logEvent(event suture.Event) {
	klog.InfoS("supervisor event", "event", event.String())
}

// ServeHTTP serves listener until ctx is done, which aborts requests in flight, or until the server is shut down. After
// either, or once the listener is closed, it returns suture.ErrDoNotRestart.
func ServeHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return suture.ErrDoNotRestart
	}
	return trace.Wrap(err)
}

const (
	// maxAcceptWait bounds the wait for the accept queue: callers that go on connecting may never leave it empty.
	maxAcceptWait = 500 * time.Millisecond
	// newConnectionWait is how long a caller that has connected may take to send its request after the listener is closed.
	newConnectionWait = time.Second
	pollPause         = 5 * time.Millisecond
)

// Drain ends a server without cutting off a request that has reached it: it accepts the connections that the kernel has set
// up, closes the listener, and shuts the server down once no connection has a request. Until then the server goes on
// reading: after http.Server.Shutdown has begun, it drops each request that it reads, without an answer. It returns an error
// if ctx ends before.
func Drain(ctx context.Context, server *http.Server, listener net.Listener, counts func() wharfidle.Counts) error {
	awaitAccepted(ctx, listener)
	if err := listener.Close(); err != nil {
		klog.InfoS("failed to close the listener", "error", err.Error())
	}
	for closed := time.Now(); wharfpause.For(ctx, pollPause); {
		c := counts()
		if c.Active == 0 && (c.New == 0 || time.Since(closed) > newConnectionWait) {
			break
		}
	}
	return server.Shutdown(ctx)
}

// awaitAccepted waits until the server has accepted the connections that the kernel has set up: closing the listener resets
// the others.
func awaitAccepted(ctx context.Context, listener net.Listener) {
	tcp, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		klog.InfoS("failed to see whether connections wait to be accepted", "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxAcceptWait)
	defer cancel()
	for ready := 1; ready > 0 && wharfpause.For(ctx, pollPause); {
		var polled error
		err := raw.Control(func(fd uintptr) {
			ready, polled = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		})
		if errors.Is(polled, unix.EINTR) {
			ready, polled = 1, nil
		}
		if err := errors.Join(err, polled); err != nil {
			klog.InfoS("failed to see whether connections wait to be accepted", "error", err.Error())
			return
		}
	}
}

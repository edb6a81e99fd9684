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
	// newConnectionWait is how long a caller that has connected may take to send its first request.
	newConnectionWait = time.Second
	// idleWait is how long a caller may take to send another request after a response. Closing the connection at once
	// would meet the next request of a caller that sends without a pause.
	idleWait  = 200 * time.Millisecond
	pollPause = 5 * time.Millisecond
)

// Drain ends a server without cutting off a request that has reached it: it accepts the connections that the kernel has set
// up, closes the listener, closes connections without a request, and shuts the server down once none is left. Until then the
// server goes on reading: after http.Server.Shutdown has begun, it drops each request that it reads, without an answer. The
// server's handler must refuse requests that could outlast ctx. Drain returns an error if ctx ends before.
func Drain(ctx context.Context, server *http.Server, listener net.Listener, connections *wharfidle.Closer) error {
	awaitAccepted(ctx, listener)
	if err := listener.Close(); err != nil {
		klog.InfoS("failed to close the listener", "error", err.Error())
	}
	for wharfpause.For(ctx, pollPause) {
		connections.CloseUnused(idleWait, newConnectionWait)
		if c := connections.Counts(); c.New+c.Active+c.Idle == 0 {
			break
		}
	}
	return server.Shutdown(ctx)
}

// awaitAccepted waits until the server has accepted the connections that the kernel has set up: closing the listener resets
// the others.
func awaitAccepted(ctx context.Context, listener net.Listener) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxAcceptWait)
	defer cancel()
	for waiting := true; waiting && wharfpause.For(ctx, pollPause); {
		var err error
		if waiting, err = wharfidle.Readable(socket); err != nil {
			klog.InfoS("failed to see whether connections wait to be accepted", "error", err.Error())
			return
		}
	}
}

package wharfservice

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
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
// either, it returns suture.ErrDoNotRestart.
func ServeHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return trace.Wrap(err)
}

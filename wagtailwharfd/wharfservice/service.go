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

// Service is one part of a daemon that runs until its context ends.
type Service struct {
	Name string
	Run  func(context.Context) error
}

// Serve runs the service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String returns the service's name for logs.
func (s Service) String() string { return s.Name }

// NewSupervisor supervises control and traffic apart; a panic ends the process, since its state can't be trusted afterwards.
func NewSupervisor(control, traffic []Service) *suture.Supervisor {
	spec := suture.Spec{PassThroughPanics: true, EventHook: logEvent}
	root := suture.New("wagtailwharfd", spec)
	root.Add(group("control", spec, control))
	root.Add(group("traffic", spec, traffic))
	return root
}

func group(name string, spec suture.Spec, services []Service) *suture.Supervisor {
	supervisor := suture.New(name, spec)
	for _, s := range services {
		supervisor.Add(s)
	}
	return supervisor
}

func logEvent(event suture.Event) {
	klog.InfoS("supervisor", "event", event.String())
}

// ServeHTTP serves a listener until ctx ends, which cuts requests off, or until the server is shut down.
func ServeHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return trace.Wrap(err)
}

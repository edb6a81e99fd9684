package wharfpeer

import (
	"context"
	"net/rpc"
	"time"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfbatch"
	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfquota"
	"wagtailwharf.example/wharf/coordination/wharfreport"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
	"wagtailwharf.example/wharf/state/wharfpoison"
)

const (
	service        = "H"
	handlerTimeout = 5 * time.Second
)

// Handlers holds the components that handle the calls of other daemons.
type Handlers struct {
	Member   *wharfmember.Member
	Owner    *wharfquota.Owner
	Rollout  *wharfrollout.Rollout
	Reporter *wharfreport.Reporter
	Runner   *wharfbatch.Runner
	Crashes  *wharfpoison.Tracker
	Leaving  func(names []string)
}

// NewServer returns a net/rpc server for calls of other daemons. Its handlers are cancelled when ctx is done.
func NewServer(ctx context.Context, handlers Handlers) (*rpc.Server, error) {
	server := rpc.NewServer()
	err := server.RegisterName(service, &methods{ctx: ctx, handlers: handlers})
	return server, trace.Wrap(err)
}

// methods has methods with the signatures that net/rpc requires. It holds the context because net/rpc passes none.
type methods struct {
	ctx      context.Context
	handlers Handlers
}

// handle calls a handler with a context that ends after handlerTimeout.
func handle[Request, Reply any](m *methods, request Request, reply *Reply, handler func(context.Context, Request) (Reply, error)) error {
	ctx, cancel := context.WithTimeout(m.ctx, handlerTimeout)
	defer cancel()
	result, err := handler(ctx, request)
	if err == nil {
		*reply = result
	}
	return err
}

// Renew votes on the renewal of a lease.
func (m *methods) Renew(request wharfmember.RenewRequest, reply *wharfmember.RenewReply) error {
	return handle(m, request, reply, m.handlers.Member.HandleRenew)
}

// Agree votes on the reclaim of a lease.
func (m *methods) Agree(request wharfmember.AgreeRequest, reply *wharfmember.AgreeReply) error {
	return handle(m, request, reply, m.handlers.Member.HandleAgree)
}

// Adopt adopts a membership.
func (m *methods) Adopt(request wharfmember.AdoptRequest, reply *wharfmember.AdoptReply) error {
	return handle(m, request, reply, m.handlers.Member.HandleAdopt)
}

// Draw grants rate-limit tokens.
func (m *methods) Draw(request wharfquota.DrawRequest, reply *wharfquota.DrawReply) error {
	return handle(m, request, reply, m.handlers.Owner.HandleDraw)
}

// Offer handles an offered configuration.
func (m *methods) Offer(request wharfrollout.OfferRequest, reply *wharfrollout.OfferReply) error {
	return handle(m, request, reply, m.handlers.Rollout.HandleOffer)
}

// Offers returns the open jobs.
func (m *methods) Offers(request wharfbatch.OfferRequest, reply *wharfbatch.OfferReply) error {
	return handle(m, request, reply, m.handlers.Runner.HandleOffers)
}

// Leaving handles the names of endpoints that are leaving.
func (m *methods) Leaving(names []string, _ *struct{}) error {
	m.handlers.Leaving(names)
	return nil
}

// Report handles counts of online requests.
func (m *methods) Report(report wharfreport.Report, _ *struct{}) error {
	m.handlers.Reporter.Handle(report)
	return nil
}

// Strike merges a crash count into the poison tracker.
func (m *methods) Strike(strike CrashReport, _ *struct{}) error {
	m.handlers.Crashes.Merge(strike.Fingerprint, strike.Crashes, strike.Alone, time.Now())
	return nil
}

// StopJob stops the processing of a cancelled job.
func (m *methods) StopJob(id string, _ *struct{}) error {
	m.handlers.Runner.StopJob(id)
	return nil
}

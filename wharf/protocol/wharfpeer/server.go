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
	service     = "H"
	handleLimit = 5 * time.Second
)

// Handlers are what answers the methods of a daemon.
type Handlers struct {
	Member   *wharfmember.Member
	Owner    *wharfquota.Owner
	Rollout  *wharfrollout.Rollout
	Reporter *wharfreport.Reporter
	Runner   *wharfbatch.Runner
	Poison   *wharfpoison.Tracker
	Leaving  func(names []string)
}

// NewServer returns a net/rpc server of the methods, whose work ends with ctx.
func NewServer(ctx context.Context, handlers Handlers) (*rpc.Server, error) {
	server := rpc.NewServer()
	err := server.RegisterName(service, &methods{ctx: ctx, handlers: handlers})
	return server, trace.Wrap(err)
}

// methods has the signatures that net/rpc asks for; it holds the context because net/rpc passes none.
type methods struct {
	ctx      context.Context
	handlers Handlers
}

func answer[Request, Reply any](m *methods, request Request, reply *Reply, handle func(context.Context, Request) (Reply, error)) error {
	ctx, cancel := context.WithTimeout(m.ctx, handleLimit)
	defer cancel()
	answered, err := handle(ctx, request)
	if err == nil {
		*reply = answered
	}
	return err
}

// Renew votes on a lease.
func (m *methods) Renew(request wharfmember.RenewRequest, reply *wharfmember.RenewReply) error {
	return answer(m, request, reply, m.handlers.Member.HandleRenew)
}

// Agree agrees to a reclaim.
func (m *methods) Agree(request wharfmember.AgreeRequest, reply *wharfmember.AgreeReply) error {
	return answer(m, request, reply, m.handlers.Member.HandleAgree)
}

// Adopt takes a membership in.
func (m *methods) Adopt(request wharfmember.AdoptRequest, reply *wharfmember.AdoptReply) error {
	return answer(m, request, reply, m.handlers.Member.HandleAdopt)
}

// Draw grants tokens.
func (m *methods) Draw(request wharfquota.DrawRequest, reply *wharfquota.DrawReply) error {
	return answer(m, request, reply, m.handlers.Owner.HandleDraw)
}

// Offer takes a configuration in.
func (m *methods) Offer(request wharfrollout.OfferRequest, reply *wharfrollout.OfferReply) error {
	return answer(m, request, reply, m.handlers.Rollout.HandleOffer)
}

// Offers answers with open jobs.
func (m *methods) Offers(request wharfbatch.OfferRequest, reply *wharfbatch.OfferReply) error {
	return answer(m, request, reply, m.handlers.Runner.HandleOffers)
}

// Leaving takes in which endpoints leave.
func (m *methods) Leaving(names []string, _ *struct{}) error {
	m.handlers.Leaving(names)
	return nil
}

// Report takes counts of online requests in.
func (m *methods) Report(report wharfreport.Report, _ *struct{}) error {
	m.handlers.Reporter.Handle(report)
	return nil
}

// Strike takes in that an endpoint broke under a request.
func (m *methods) Strike(strike Strike, _ *struct{}) error {
	m.handlers.Poison.Merge(strike.Fingerprint, strike.Crashes, strike.Alone, time.Now())
	return nil
}

// StopJob ends the work on a cancelled job.
func (m *methods) StopJob(id string, _ *struct{}) error {
	m.handlers.Runner.StopJob(id)
	return nil
}

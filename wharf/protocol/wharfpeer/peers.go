package wharfpeer

import (
	"context"
	"net/netip"

	"wagtailwharf.example/wharf/coordination/wharfbatch"
	"wagtailwharf.example/wharf/coordination/wharfmember"
	"wagtailwharf.example/wharf/coordination/wharfquota"
	"wagtailwharf.example/wharf/coordination/wharfreport"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
)

// Caller calls a net/rpc method of the daemon at an address.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// Strike tells of an endpoint that broke under a request.
type Strike struct {
	Fingerprint uint64
	Crashes     int
	Alone       bool
}

// Client is the calling side of the methods between daemons.
type Client struct {
	caller Caller
}

// New returns the methods of other daemons, called through caller.
func New(caller Caller) *Client {
	return &Client{caller: caller}
}

func call[Reply any](ctx context.Context, p *Client, to netip.AddrPort, method string, args any) (Reply, error) {
	var reply Reply
	err := p.caller.Call(ctx, to, service+"."+method, args, &reply)
	return reply, err
}

// Renew asks for a vote for the caller's lease.
func (p *Client) Renew(ctx context.Context, to netip.AddrPort, request wharfmember.RenewRequest) (wharfmember.RenewReply, error) {
	return call[wharfmember.RenewReply](ctx, p, to, "Renew", request)
}

// Agree asks for agreement to a reclaim.
func (p *Client) Agree(ctx context.Context, to netip.AddrPort, request wharfmember.AgreeRequest) (wharfmember.AgreeReply, error) {
	return call[wharfmember.AgreeReply](ctx, p, to, "Agree", request)
}

// Adopt tells of a membership.
func (p *Client) Adopt(ctx context.Context, to netip.AddrPort, request wharfmember.AdoptRequest) (wharfmember.AdoptReply, error) {
	return call[wharfmember.AdoptReply](ctx, p, to, "Adopt", request)
}

// Draw asks for tokens.
func (p *Client) Draw(ctx context.Context, to netip.AddrPort, request wharfquota.DrawRequest) (wharfquota.DrawReply, error) {
	return call[wharfquota.DrawReply](ctx, p, to, "Draw", request)
}

// Offer tells of a configuration.
func (p *Client) Offer(ctx context.Context, to netip.AddrPort, request wharfrollout.OfferRequest) (wharfrollout.OfferReply, error) {
	return call[wharfrollout.OfferReply](ctx, p, to, "Offer", request)
}

// Offers asks for open jobs.
func (p *Client) Offers(ctx context.Context, to netip.AddrPort, request wharfbatch.OfferRequest) (wharfbatch.OfferReply, error) {
	return call[wharfbatch.OfferReply](ctx, p, to, "Offers", request)
}

// Leaving tells of the endpoints that the platform lists as leaving.
func (p *Client) Leaving(ctx context.Context, to netip.AddrPort, names []string) error {
	_, err := call[struct{}](ctx, p, to, "Leaving", names)
	return err
}

// Report tells how many online requests the caller has on endpoints.
func (p *Client) Report(ctx context.Context, to netip.AddrPort, report wharfreport.Report) error {
	_, err := call[struct{}](ctx, p, to, "Report", report)
	return err
}

// Strike tells of an endpoint that broke under a request.
func (p *Client) Strike(ctx context.Context, to netip.AddrPort, strike Strike) error {
	_, err := call[struct{}](ctx, p, to, "Strike", strike)
	return err
}

// StopJob tells that a job was cancelled.
func (p *Client) StopJob(ctx context.Context, to netip.AddrPort, id string) error {
	_, err := call[struct{}](ctx, p, to, "StopJob", id)
	return err
}

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

// CrashReport reports an endpoint that crashed while it ran a request.
type CrashReport struct {
	Fingerprint uint64
	Crashes     int
	Alone       bool
}

// Client calls the methods of other daemons.
type Client struct {
	caller Caller
}

// New returns a client that makes its calls through caller.
func New(caller Caller) *Client {
	return &Client{caller: caller}
}

func call[Reply any](ctx context.Context, c *Client, to netip.AddrPort, method string, args any) (Reply, error) {
	var reply Reply
	err := c.caller.Call(ctx, to, service+"."+method, args, &reply)
	return reply, err
}

// Renew requests a vote to renew this host's lease.
func (c *Client) Renew(ctx context.Context, to netip.AddrPort, request wharfmember.RenewRequest) (wharfmember.RenewReply, error) {
	return call[wharfmember.RenewReply](ctx, c, to, "Renew", request)
}

// Agree requests agreement to reclaim the lease of another host.
func (c *Client) Agree(ctx context.Context, to netip.AddrPort, request wharfmember.AgreeRequest) (wharfmember.AgreeReply, error) {
	return call[wharfmember.AgreeReply](ctx, c, to, "Agree", request)
}

// Adopt sends a membership to another daemon.
func (c *Client) Adopt(ctx context.Context, to netip.AddrPort, request wharfmember.AdoptRequest) (wharfmember.AdoptReply, error) {
	return call[wharfmember.AdoptReply](ctx, c, to, "Adopt", request)
}

// Draw requests rate-limit tokens.
func (c *Client) Draw(ctx context.Context, to netip.AddrPort, request wharfquota.DrawRequest) (wharfquota.DrawReply, error) {
	return call[wharfquota.DrawReply](ctx, c, to, "Draw", request)
}

// Offer sends a configuration.
func (c *Client) Offer(ctx context.Context, to netip.AddrPort, request wharfrollout.OfferRequest) (wharfrollout.OfferReply, error) {
	return call[wharfrollout.OfferReply](ctx, c, to, "Offer", request)
}

// Offers requests the open jobs.
func (c *Client) Offers(ctx context.Context, to netip.AddrPort, request wharfbatch.OfferRequest) (wharfbatch.OfferReply, error) {
	return call[wharfbatch.OfferReply](ctx, c, to, "Offers", request)
}

// Leaving reports the names of the endpoints that the platform lists as leaving.
func (c *Client) Leaving(ctx context.Context, to netip.AddrPort, names []string) error {
	_, err := call[struct{}](ctx, c, to, "Leaving", names)
	return err
}

// Report reports the numbers of online requests of this daemon on endpoints.
func (c *Client) Report(ctx context.Context, to netip.AddrPort, report wharfreport.Report) error {
	_, err := call[struct{}](ctx, c, to, "Report", report)
	return err
}

// Strike reports an endpoint that crashed while it ran a request.
func (c *Client) Strike(ctx context.Context, to netip.AddrPort, strike CrashReport) error {
	_, err := call[struct{}](ctx, c, to, "Strike", strike)
	return err
}

// StopJob reports that a job was cancelled.
func (c *Client) StopJob(ctx context.Context, to netip.AddrPort, id string) error {
	_, err := call[struct{}](ctx, c, to, "StopJob", id)
	return err
}

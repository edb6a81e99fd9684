package wharfhostcalls

import (
	"context"
	"net/netip"
	"net/rpc"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfdirectory"
	"wagtailwharf.example/wharf/coordination/wharfrelay"
)

const service = "Host"

// Caller calls a net/rpc method of the daemon at an address.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// PullRequest asks for tokens of an organisation.
type PullRequest struct {
	Organisation string
	Wanted       float64
}

// PullReply hands tokens over.
type PullReply struct {
	Tokens float64
}

// Strike tells of an endpoint that crashed under a request.
type Strike struct {
	Fingerprint uint64
	Crashes     int
	Alone       bool
}

// Empty is an empty request or reply.
type Empty struct{}

// Client is the calling side.
type Client struct {
	caller Caller
}

// New returns the calls of other hosts, made through caller.
func New(caller Caller) *Client {
	return &Client{caller: caller}
}

// Pull asks a host for tokens and returns how many it gave.
func (c *Client) Pull(ctx context.Context, to netip.AddrPort, request PullRequest) (float64, error) {
	var reply PullReply
	err := c.caller.Call(ctx, to, service+".Pull", request, &reply)
	return reply.Tokens, err
}

// Snapshot asks a host for what the store has told it.
func (c *Client) Snapshot(ctx context.Context, to netip.AddrPort) (wharfdirectory.Snapshot, error) {
	var reply wharfdirectory.Snapshot
	err := c.caller.Call(ctx, to, service+".Snapshot", Empty{}, &reply)
	return reply, err
}

// Strike tells a host of a crash.
func (c *Client) Strike(ctx context.Context, to netip.AddrPort, strike Strike) error {
	var reply Empty
	return c.caller.Call(ctx, to, service+".Strike", strike, &reply)
}

// Relay has a host make a call of the store.
func (c *Client) Relay(ctx context.Context, to netip.AddrPort, request wharfrelay.Request) (wharfrelay.Reply, error) {
	var reply wharfrelay.Reply
	err := c.caller.Call(ctx, to, service+".Relay", request, &reply)
	return reply, err
}

// Handlers answer the calls.
type Handlers struct {
	Pull     func(PullRequest) float64
	Snapshot func() wharfdirectory.Snapshot
	Strike   func(Strike)
	Relay    func(wharfrelay.Request) wharfrelay.Reply
}

// NewServer returns a net/rpc server of the calls.
func NewServer(handlers Handlers) (*rpc.Server, error) {
	server := rpc.NewServer()
	err := server.RegisterName(service, &methods{handlers})
	return server, trace.Wrap(err)
}

type methods struct {
	handlers Handlers
}

// Pull hands tokens over.
func (m *methods) Pull(request PullRequest, reply *PullReply) error {
	reply.Tokens = m.handlers.Pull(request)
	return nil
}

// Snapshot returns what the store has told.
func (m *methods) Snapshot(_ Empty, reply *wharfdirectory.Snapshot) error {
	*reply = m.handlers.Snapshot()
	return nil
}

// Strike takes a crash over.
func (m *methods) Strike(strike Strike, _ *Empty) error {
	m.handlers.Strike(strike)
	return nil
}

// Relay makes a call of the store for another host.
func (m *methods) Relay(request wharfrelay.Request, reply *wharfrelay.Reply) error {
	*reply = m.handlers.Relay(request)
	return nil
}

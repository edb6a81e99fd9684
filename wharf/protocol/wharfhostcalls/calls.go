package wharfhostcalls

import (
	"context"
	"net/netip"
	"net/rpc"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/coordination/wharfallocator"
	"wagtailwharf.example/wharf/coordination/wharfdirectory"
	"wagtailwharf.example/wharf/coordination/wharflimiter"
	"wagtailwharf.example/wharf/coordination/wharfrelay"
	"wagtailwharf.example/wharf/state/wharfcrash"
)

const service = "Host"

// Caller calls a net/rpc method of the daemon at an address.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// PullRequest requests a transfer of tokens of an organisation.
type PullRequest struct {
	Organisation string
	Wanted       float64
	// Claims are those of the wanted tokens that the host may give beside its own (wharflimiter.Loan). Hosts of older builds
	// neither send nor grant them.
	Claims []float64
}

// PullReply holds the number of transferred tokens.
type PullReply struct {
	Tokens float64
}

// CrashReport tells what a host has learned about requests that crash endpoints.
type CrashReport struct {
	Host    string // the sender
	Crashes []wharfcrash.Crash
	Blocked []wharfcrash.Verdict
	Cleared []wharfcrash.Identity // answers with them have begun
}

// Empty is an empty request or reply.
type Empty struct{}

// Client calls the methods of other hosts.
type Client struct {
	caller Caller
}

// New returns a client that makes its calls through caller.
func New(caller Caller) *Client {
	return &Client{caller: caller}
}

// Pull requests tokens from a host and returns the number of transferred tokens.
func (c *Client) Pull(ctx context.Context, to netip.AddrPort, request PullRequest) (float64, error) {
	var reply PullReply
	err := c.caller.Call(ctx, to, service+".Pull", request, &reply)
	return reply.Tokens, err
}

// Snapshot requests what a host has read from the store.
func (c *Client) Snapshot(ctx context.Context, to netip.AddrPort) (wharfdirectory.Snapshot, error) {
	var reply wharfdirectory.Snapshot
	err := c.caller.Call(ctx, to, service+".Snapshot", Empty{}, &reply)
	return reply, err
}

// Strike reports crashes and what follows from them to a host.
func (c *Client) Strike(ctx context.Context, to netip.AddrPort, report CrashReport) error {
	var reply Empty
	return c.caller.Call(ctx, to, service+".Strike", report, &reply)
}

// Relay makes a store call through another host.
func (c *Client) Relay(ctx context.Context, to netip.AddrPort, request wharfrelay.Request) (wharfrelay.Reply, error) {
	var reply wharfrelay.Reply
	err := c.caller.Call(ctx, to, service+".Relay", request, &reply)
	return reply, err
}

// Reserve requests a slot from an allocator.
func (c *Client) Reserve(
	ctx context.Context, to netip.AddrPort, request wharfallocator.Reservation,
) (wharfallocator.Grant, error) {
	var reply wharfallocator.Grant
	err := c.caller.Call(ctx, to, service+".Reserve", request, &reply)
	return reply, err
}

// Admit has an allocator admit a request by its organisation's rate.
func (c *Client) Admit(ctx context.Context, to netip.AddrPort, request wharflimiter.Admission) (wharflimiter.Decision, error) {
	var reply wharflimiter.Decision
	err := c.caller.Call(ctx, to, service+".Admit", request, &reply)
	return reply, err
}

// Handlers holds the functions that handle the calls of other hosts.
type Handlers struct {
	Pull     func(PullRequest) float64
	Snapshot func() wharfdirectory.Snapshot
	Strike   func(CrashReport)
	Relay    func(wharfrelay.Request) wharfrelay.Reply
	Reserve  func(wharfallocator.Reservation) wharfallocator.Grant
	Admit    func(wharflimiter.Admission) wharflimiter.Decision
}

// NewServer returns a net/rpc server for calls of other hosts.
func NewServer(handlers Handlers) (*rpc.Server, error) {
	server := rpc.NewServer()
	err := server.RegisterName(service, &methods{handlers})
	return server, trace.Wrap(err)
}

// methods has methods with the signatures that net/rpc requires.
type methods struct {
	handlers Handlers
}

// Pull withdraws tokens for the calling host.
func (m *methods) Pull(request PullRequest, reply *PullReply) error {
	reply.Tokens = m.handlers.Pull(request)
	return nil
}

// Snapshot returns what this host has read from the store.
func (m *methods) Snapshot(_ Empty, reply *wharfdirectory.Snapshot) error {
	*reply = m.handlers.Snapshot()
	return nil
}

// Strike handles a report about crashes.
func (m *methods) Strike(report CrashReport, _ *Empty) error {
	m.handlers.Strike(report)
	return nil
}

// Relay makes a store call for the calling host.
func (m *methods) Relay(request wharfrelay.Request, reply *wharfrelay.Reply) error {
	*reply = m.handlers.Relay(request)
	return nil
}

// Reserve grants the calling host a slot.
func (m *methods) Reserve(request wharfallocator.Reservation, reply *wharfallocator.Grant) error {
	*reply = m.handlers.Reserve(request)
	return nil
}

// Admit admits a request of the calling host.
func (m *methods) Admit(request wharflimiter.Admission, reply *wharflimiter.Decision) error {
	*reply = m.handlers.Admit(request)
	return nil
}

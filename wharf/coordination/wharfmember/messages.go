package wharfmember

import (
	"context"
	"net/netip"

	"wagtailwharf.example/wharf/state/wharfzone"
)

// RenewRequest asks a voter for its vote for one lease term.
type RenewRequest struct {
	Host       string
	Epoch      uint64
	Generation uint64
}

// RenewReply is a voter's answer. Zone is set if the voter knows a later generation.
type RenewReply struct {
	Granted    bool
	Promised   bool
	Generation uint64
	Zone       *wharfzone.Zone
}

// AgreeRequest asks a voter to agree to the reclaim of a silent incarnation.
type AgreeRequest struct {
	Host  string
	Epoch uint64
	Zone  wharfzone.Zone
}

// AgreeReply reports whether the voter agrees in the generation of the request.
type AgreeReply struct {
	Agreed bool
}

// AdoptRequest sends a zone membership to a voter.
type AdoptRequest struct {
	Zone wharfzone.Zone
}

// AdoptReply returns the generation known to the voter after the request.
type AdoptReply struct {
	Generation uint64
}

// Peers calls the other hosts of a zone. An error means that the outcome is unknown.
type Peers interface {
	Renew(ctx context.Context, to netip.AddrPort, request RenewRequest) (RenewReply, error)
	Agree(ctx context.Context, to netip.AddrPort, request AgreeRequest) (AgreeReply, error)
	Adopt(ctx context.Context, to netip.AddrPort, request AdoptRequest) (AdoptReply, error)
}

package wharfmember

import (
	"context"
	"net/netip"

	"wagtailwharf.example/wharf/state/wharfzone"
)

// RenewRequest asks a voter to grant a lease for one term.
type RenewRequest struct {
	Host       string
	Epoch      uint64
	Generation uint64
}

// RenewReply is a voter's answer; Zone is set if the voter knows a later generation.
type RenewReply struct {
	Granted    bool
	Promised   bool
	Generation uint64
	Zone       *wharfzone.Zone
}

// AgreeRequest asks a voter to agree that a silent incarnation be reclaimed.
type AgreeRequest struct {
	Host  string
	Epoch uint64
	Zone  wharfzone.Zone
}

// AgreeReply says whether the voter agrees, bound to the generation asked about.
type AgreeReply struct {
	Agreed bool
}

// AdoptRequest tells a voter of a membership.
type AdoptRequest struct {
	Zone wharfzone.Zone
}

// AdoptReply is the generation that the voter knows after it has taken the request in.
type AdoptReply struct {
	Generation uint64
}

// Peers are the calls to the other hosts of a zone; an error says that no answer is known.
type Peers interface {
	Renew(ctx context.Context, to netip.AddrPort, request RenewRequest) (RenewReply, error)
	Agree(ctx context.Context, to netip.AddrPort, request AgreeRequest) (AgreeReply, error)
	Adopt(ctx context.Context, to netip.AddrPort, request AdoptRequest) (AdoptReply, error)
}

package wharfrollout

import (
	"context"
	"net/netip"
	"time"

	"wagtailwharf.example/wharf/state/wharfdelta"
)

// Current is the row that names the configuration in force.
type Current struct {
	Version   uint64    `json:"version"`
	Hash      string    `json:"hash"`
	Signers   []string  `json:"signers"`
	AppliedAt time.Time `json:"applied-at"`
	AppliedBy string    `json:"applied-by"`
}

// OfferRequest tells a host of a configuration, as a delta from the version before it.
type OfferRequest struct {
	Current Current
	Base    string // hash of the text that the delta is from
	Delta   wharfdelta.Delta
}

// OfferReply is the version that the host has in force after it has taken the offer in.
type OfferReply struct {
	Version uint64
}

// Peers are the calls to other hosts about configuration.
type Peers interface {
	Offer(ctx context.Context, to netip.AddrPort, request OfferRequest) (OfferReply, error)
}

// Signed is a bundle's text with the signatures of those who signed it off.
type Signed struct {
	Text       []byte      `json:"text"`
	Signatures []Signature `json:"signatures"`
}

// Signature is an Ed25519 signature of a bundle's text.
type Signature struct {
	Signer string `json:"signer"`
	Bytes  []byte `json:"bytes"`
}

// Result is what became of an accepted commit: the hosts that have not confirmed it within the limit.
type Result struct {
	Version     uint64   `json:"version"`
	Hash        string   `json:"hash"`
	InForce     bool     `json:"in-force"`
	Unconfirmed []string `json:"unconfirmed"`
}

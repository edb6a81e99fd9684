package wharfrollout

import (
	"context"
	"net/netip"
	"time"

	"wagtailwharf.example/wharf/state/wharfdelta"
)

// Current is the stored row that names the current configuration.
type Current struct {
	Version   uint64    `json:"version"`
	Hash      string    `json:"hash"`
	Signers   []string  `json:"signers"`
	AppliedAt time.Time `json:"applied-at"`
	AppliedBy string    `json:"applied-by"`
}

// OfferRequest offers a configuration to a host, as a delta from the previous version.
type OfferRequest struct {
	Current Current
	Base    string // hash of the text to which the delta applies
	Delta   wharfdelta.Delta
}

// OfferReply holds the version in force on the host after it has handled the offer.
type OfferReply struct {
	Version uint64
}

// Peers calls other hosts.
type Peers interface {
	Offer(ctx context.Context, to netip.AddrPort, request OfferRequest) (OfferReply, error)
}

// Signed is a bundle's text with its signatures.
type Signed struct {
	Text       []byte      `json:"text"`
	Signatures []Signature `json:"signatures"`
}

// Signature is an Ed25519 signature of a bundle's text.
type Signature struct {
	Signer string `json:"signer"`
	Bytes  []byte `json:"bytes"`
}

// Result is the outcome of an accepted configuration. Unconfirmed names the hosts that have not confirmed it in time.
type Result struct {
	Version     uint64   `json:"version"`
	Hash        string   `json:"hash"`
	InForce     bool     `json:"in-force"`
	Unconfirmed []string `json:"unconfirmed"`
}

package wharfquota

import (
	"context"
	"net/netip"
	"time"
)

// DrawRequest asks the owner of an organisation's bucket for tokens.
type DrawRequest struct {
	Organisation string
	Need         float64 // tokens for waiting requests
	Ahead        float64 // additional tokens for expected requests
	Loan         bool    // sent by another zone's owner, which also accepts fractions of tokens
}

// DrawReply returns the granted tokens. If they are fewer than needed, Wait is the time until the next one may be
// available.
type DrawReply struct {
	Tokens   float64
	Term     time.Duration // validity of the tokens, counted from the sending of the request
	Wait     time.Duration
	NotOwner bool
}

// Peers calls other owners of quota shards.
type Peers interface {
	Draw(ctx context.Context, to netip.AddrPort, request DrawRequest) (DrawReply, error)
}

// Shard is the row of a quota shard: its current owner, or the levels left by the last one on release.
type Shard struct {
	Host      string           `json:"host"`
	Epoch     uint64           `json:"epoch"`
	Peer      netip.AddrPort   `json:"peer"`
	Levels    map[string]Level `json:"levels,omitempty"`
	Untouched bool             `json:"untouched,omitempty"` // buckets without a level have never been used
}

// Level is the state of a released bucket.
type Level struct {
	Tokens      float64 `json:"tokens"`
	Outstanding float64 `json:"outstanding"`
}

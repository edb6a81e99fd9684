package wharfquota

import (
	"context"
	"net/netip"
	"time"
)

// DrawRequest asks the owner of an organisation's bucket for tokens.
type DrawRequest struct {
	Organisation string
	Need         float64 // tokens that requests wait for
	Ahead        float64 // tokens beyond those that would be used soon
	Loan         bool    // asked by another zone's owner, which takes parts of tokens too
}

// DrawReply is the tokens granted, and if they are fewer than needed how long until one more may be there.
type DrawReply struct {
	Tokens   float64
	Term     time.Duration // for which they may be spent, from the request's sending
	Wait     time.Duration
	NotOwner bool
}

// Peers are the calls to other owners of quota shards.
type Peers interface {
	Draw(ctx context.Context, to netip.AddrPort, request DrawRequest) (DrawReply, error)
}

// Shard is the row of a quota shard: the incarnation that owns it, or the levels that its last owner has released.
type Shard struct {
	Host      string           `json:"host"`
	Epoch     uint64           `json:"epoch"`
	Peer      netip.AddrPort   `json:"peer"`
	Levels    map[string]Level `json:"levels,omitempty"`
	Untouched bool             `json:"untouched,omitempty"` // buckets without a level have never been used
}

// Level is what a released bucket held.
type Level struct {
	Tokens      float64 `json:"tokens"`
	Outstanding float64 `json:"outstanding"`
}

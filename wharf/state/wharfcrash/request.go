package wharfcrash

import (
	"fmt"
	"time"

	"wagtailwharf.example/wharf/state/wharfkey"
)

// Identity is a hash of what requests may have in common: the whole request, or a part of the prompt.
type Identity uint64

// String returns the identity in hexadecimal, as in logs and keys of rows.
func (i Identity) String() string {
	return fmt.Sprintf("%016x", uint64(i))
}

// Request holds the identities of a request.
type Request struct {
	Whole Identity
	Parts []Identity // of the parts of the prompt that other requests may share, in order
}

// NewRequest returns the identities of a request. A part has the same one in the requests of all organisations.
func NewRequest(organisation, target string, body []byte, parts []string) Request {
	r := Request{Whole: Identity(wharfkey.Sum64(body, organisation, target))}
	for _, part := range parts {
		r.Parts = append(r.Parts, Identity(wharfkey.Sum64(nil, "part", part)))
	}
	return r
}

// identities returns all identities, the most specific first: the last part, the parts before it, the whole request. If
// requests that crash endpoints share several parts, the most specific one leaves the most other requests alone.
func (r *Request) identities() []Identity {
	list := make([]Identity, 0, len(r.Parts)+1)
	for i := len(r.Parts) - 1; i >= 0; i-- {
		list = append(list, r.Parts[i])
	}
	return append(list, r.Whole)
}

// Crash is the crash of an endpoint under a request that it had not begun to answer.
type Crash struct {
	Endpoint uint64 // hash of the endpoint's incarnation
	Request  Request
	Proven   []Identity // parts with which the reporting host has seen answers begin
}

// Verdict says that requests with an identity are blocked.
type Verdict struct {
	Identity Identity  `cbor:"1,keyasint"`
	Crashes  int       `cbor:"2,keyasint"` // endpoints that have crashed
	At       time.Time `cbor:"3,keyasint"` // of the last crash
}

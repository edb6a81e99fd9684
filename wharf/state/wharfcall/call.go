package wharfcall

import (
	"net/http"
	"time"
)

// Call is a caller's request, decoded once by the dialect of the interface at which it came.
type Call struct {
	ID      string // of this attempt of the caller's
	Key     string // "" for none
	Method  string
	Host    string // name that the caller used, without a port
	Path    string // as it was sent, escaped
	Target  string // path and query as they were sent
	Header  http.Header
	Body    []byte
	Arrived time.Time
	Timeout time.Duration // how long the caller waits from its arrival, 0 if it does not say
	// LastEvent is the number of the last event that the caller has, if it resumes a stream.
	LastEvent int
	Resumes   bool
}

// Attempt is one sending of a call to an endpoint.
type Attempt struct {
	Endpoint     string // id that the endpoint must have
	Organisation string // "" on open routes
	Remaining    time.Duration
	LastEvent    int // events up to this number are there already
	Resumes      bool
}

// Item is one request of a batch job.
type Item struct {
	ID     string      `cbor:"1,keyasint"`
	Path   string      `cbor:"2,keyasint"`
	Header http.Header `cbor:"3,keyasint"`
	Body   []byte      `cbor:"4,keyasint"`
	Tokens int64       `cbor:"5,keyasint"`
}

// Response is what an endpoint's status and header say.
type Response struct {
	Status        int
	ID            string // of the request that is answered, "" if it does not say
	NotRun        bool
	WrongEndpoint bool          // another endpoint answers at the address
	KeepAlive     time.Duration // how long the endpoint keeps the connection, 0 if it does not say
}

package wharfcall

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Call is a caller's request, decoded by the dialect of the interface at which it arrived.
type Call struct {
	ID      string // ID of this attempt of the caller
	Key     string // API key, "" for none
	Method  string
	Host    string // requested host name without the port
	Path    string // as received, escaped
	Target  string // path and query as received
	Header  http.Header
	Body    []byte
	Arrived time.Time
	Timeout time.Duration // how long the caller waits from Arrived on, 0 if not given
	// LastEvent is the number of the last event that the caller has received, if Resumes is set.
	LastEvent int
	Resumes   bool // the caller asks to continue a stream
	// StreamID is the ID of the caller's attempt that brought the first event of the stream to continue, "" if not given.
	StreamID string
	// SharedParts are the IDs of the prompt's parts that other requests may share, in order.
	SharedParts []string
}

// Attempt is one attempt to send a call to an endpoint.
type Attempt struct {
	Endpoint     string        // ID that the endpoint must have
	Organisation string        // "" on open routes
	Remaining    time.Duration // time left until the deadline of the call
	LastEvent    int           // number of the last event received so far
	Resumes      bool          // the response must continue after LastEvent
}

// Origin is where a stream began. It can continue only at endpoints of that service and version, since what two versions
// write does not fit together.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// Item is one request of a batch job.
type Item struct {
	ID     string      `cbor:"1,keyasint"`
	Path   string      `cbor:"2,keyasint"`
	Header http.Header `cbor:"3,keyasint"`
	Body   []byte      `cbor:"4,keyasint"`
	Tokens int64       `cbor:"5,keyasint"`
}

// NoLimit is the rate limit of an endpoint that names none.
const NoLimit = -1

// Response holds what the status and header of an endpoint's response say.
type Response struct {
	Status        int
	ID            string // ID of the answered request, "" if not given
	NotRun        bool
	WrongEndpoint bool          // another endpoint answered at the address
	KeepAlive     time.Duration // how long the endpoint keeps the idle connection open, 0 if not given
	Leaving       bool          // the endpoint will end soon and is to get no new requests
	RateLimit     float64       // requests per second that the endpoint takes from all hosts, or NoLimit
	Signed        bool          // the endpoint vouches for the response, as for each success
	Encoded       bool          // the body is not as the endpoint made it
	EventStream   bool          // the body is a stream of events
}

// ErrInvalid means that an item can't be sent as it is.
var ErrInvalid = errors.New("invalid item")

// Check returns an error that wraps ErrInvalid and names the field if what the item holds for the head of a request could end a
// line of it, or mean something else there.
func (i *Item) Check() error {
	if i.ID == "" || !httpguts.ValidHeaderFieldValue(i.ID) {
		return fmt.Errorf("%w: its ID %q is no header value", ErrInvalid, i.ID)
	}
	if !ValidTarget(i.Path) {
		return fmt.Errorf("%w: path %q of item %q is no path", ErrInvalid, i.Path, i.ID)
	}
	for name, values := range i.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: header name %q of item %q", ErrInvalid, name, i.ID)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: header %s of item %q has the value %q", ErrInvalid, name, i.ID, value)
			}
		}
	}
	return nil
}

// ValidTarget reports whether a path with its query can stand in a request line: it starts with a slash and has no spaces and no
// control characters.
func ValidTarget(target string) bool {
	forbidden := func(r rune) bool { return r <= ' ' || r == '\x7f' }
	return strings.HasPrefix(target, "/") && strings.IndexFunc(target, forbidden) < 0
}

// Statuses of responses, as HTTP defines their classes.
const (
	minInterimStatus = 100
	switchProtocols  = 101 // never asked for
	minFinalStatus   = 200
	maxFinalStatus   = 599
)

// IsInterimStatus reports whether another response follows one with the status.
func IsInterimStatus(status int) bool {
	return status >= minInterimStatus && status < minFinalStatus && status != switchProtocols
}

// IsFinalStatus reports whether a status is that of an answer.
func IsFinalStatus(status int) bool {
	return status >= minFinalStatus && status <= maxFinalStatus
}

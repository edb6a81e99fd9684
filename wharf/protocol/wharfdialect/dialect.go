package wharfdialect

import (
	"errors"
	"net/http"
	"time"

	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharftask"
)

// ErrMalformed means that a request cannot be decoded.
var ErrMalformed = errors.New("the request is malformed")

// JobAction is the operation of a request about a batch job.
type JobAction int

// Operations on a submitted batch job.
const (
	ReadResults JobAction = iota + 1
	ReadBody
	CancelJob
)

// JobCall is a request about a batch job.
type JobCall struct {
	Action JobAction
	JobID  string
	After  int           // position of the first result to return
	ItemID string        // item whose body is requested
	Wait   time.Duration // how long the caller waits for results
}

// Dialect decodes and encodes the requests and responses of an HTTP API. It makes no decisions about them.
type Dialect interface {
	// DecodeCall decodes a caller's request without its body, which the pipeline reads.
	DecodeCall(r *http.Request) wharfcall.Call
	// DecodeJobCall decodes a request about a batch job, and reports whether the request is one.
	DecodeJobCall(r *http.Request) (JobCall, bool, error)
	// CountParts returns an upper bound of the number of parts of a batch job submission. Each takes memory of its own once it
	// is decoded, however short it is.
	CountParts(body []byte) int
	// DecodeItems decodes the body of a batch job submission.
	DecodeItems(body []byte) ([]wharfcall.Item, error)
	// AttemptHeader returns the request header of an attempt to send a call to an endpoint.
	AttemptHeader(c *wharfcall.Call, a wharfcall.Attempt) http.Header
	// DecodeResponse decodes the status and header of an endpoint's response.
	DecodeResponse(status int, header http.Header) wharfcall.Response
	// WriteRefusal writes a refusal as the response to a caller.
	WriteRefusal(w http.ResponseWriter, r *wharfrefusal.Refusal)
	// WriteResults writes a page of results of a job as the response to a caller.
	WriteResults(w http.ResponseWriter, results wharftask.Results) error
}

package wharfdialect

import (
	"errors"
	"net/http"
	"time"

	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfcall"
	"wagtailwharf.example/wharf/state/wharftask"
)

// ErrMalformed says that a request can not be read.
var ErrMalformed = errors.New("the request is malformed")

// JobAction is what a caller wants of a batch job.
type JobAction int

// The actions on a batch job that was submitted before.
const (
	ReadResults JobAction = iota + 1
	ReadBody
	CancelJob
)

// JobCall is a request about a batch job.
type JobCall struct {
	Action JobAction
	JobID  string
	After  int           // results before this position are not wanted
	ItemID string        // whose body is wanted
	Wait   time.Duration // how long the caller waits for a result
}

// Dialect reads and writes an interface's requests and answers; it decides nothing.
type Dialect interface {
	// DecodeCall decodes a caller's request; its body is read by the pipeline.
	DecodeCall(r *http.Request) wharfcall.Call
	// DecodeJobCall decodes a request about a batch job and reports whether it is one.
	DecodeJobCall(r *http.Request) (JobCall, bool, error)
	// DecodeItems decodes the body with which a batch job is submitted.
	DecodeItems(body []byte) ([]wharfcall.Item, error)
	// AttemptHeader returns the header of a call as it is sent to an endpoint.
	AttemptHeader(c *wharfcall.Call, a wharfcall.Attempt) http.Header
	// DecodeResponse decodes an endpoint's status and header.
	DecodeResponse(status int, header http.Header) wharfcall.Response
	// WriteRefusal answers a caller.
	WriteRefusal(w http.ResponseWriter, r *wharfrefusal.Refusal)
	// WriteResults answers with results of a job.
	WriteResults(w http.ResponseWriter, results wharftask.Results) error
}

package wharfrefusal

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"
)

// RunState says whether refused work may have run.
type RunState string

// The run states.
const (
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
)

// Header names the run state on refusals.
const Header = "Wharf-Run-State"

// Refusal is an error that a caller is answered with; it is final.
type Refusal struct {
	Status     int
	Code       string
	Message    string
	RunState   RunState
	RetryAfter time.Duration // 0 for none
}

// Error returns the message.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message
}

// New returns a refusal of work that was not run.
func New(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, RunState: NotRun}
}

// WithRetryAfter returns the refusal with the time after which the caller should come back.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	later := *r
	later.RetryAfter = max(wait, time.Second)
	return &later
}

// WithExactRetryAfter returns the refusal with the exact time after which the caller should come back.
func (r *Refusal) WithExactRetryAfter(wait time.Duration) *Refusal {
	later := *r
	later.RetryAfter = max(wait, 0)
	return &later
}

// MayHaveRun returns the refusal for work that may have run.
func (r *Refusal) MayHaveRun() *Refusal {
	other := *r
	other.RunState = Unknown
	return &other
}

// FromError returns err's refusal, or one that says that the daemon failed and that the work may have run.
func FromError(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return New(http.StatusInternalServerError, "internal_error", "the request failed inside the system").MayHaveRun()
}

type body struct {
	Error bodyError `json:"error"`
}

type bodyError struct {
	Message  string   `json:"message"`
	Type     string   `json:"type"`
	Param    *string  `json:"param"`
	Code     string   `json:"code"`
	RunState RunState `json:"run-state"`
}

// JSON returns the error object of the callers' interface.
func (r *Refusal) JSON() []byte {
	data, _ := json.Marshal(body{Error: bodyError{
		Message:  r.Message,
		Type:     kind(r.Status),
		Code:     r.Code,
		RunState: r.RunState,
	}})
	return data
}

func kind(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// Write answers with the refusal.
func (r *Refusal) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(Header, string(r.RunState))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.JSON())
}

package wharfrefusal

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"
)

// RunState states whether a refused request may have run.
type RunState string

// Run states.
const (
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
)

// Header is the response header with the run state of a refusal.
const Header = "Wharf-Run-State"

// Refusal is an error that is sent to a caller as the final response.
type Refusal struct {
	Status     int
	Code       string
	Message    string
	RunState   RunState
	RetryAfter time.Duration // 0 to send no retry delay
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message
}

// New returns a refusal of a request that was not run.
func New(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, RunState: NotRun}
}

// WithRetryAfter returns a copy of the refusal with a retry delay of at least one second.
func (r *Refusal) WithRetryAfter(delay time.Duration) *Refusal {
	changed := *r
	changed.RetryAfter = max(delay, time.Second)
	return &changed
}

// WithExactRetryAfter returns a copy of the refusal with a retry delay, which may be shorter than a second.
func (r *Refusal) WithExactRetryAfter(delay time.Duration) *Refusal {
	changed := *r
	changed.RetryAfter = max(delay, 0)
	return &changed
}

// MayHaveRun returns a copy of the refusal with the run state Unknown.
func (r *Refusal) MayHaveRun() *Refusal {
	changed := *r
	changed.RunState = Unknown
	return &changed
}

// FromError returns the refusal that err wraps. For any other error it returns an internal error with the run state
// Unknown.
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

// JSON returns the refusal as the error object of the HTTP API.
func (r *Refusal) JSON() []byte {
	data, _ := json.Marshal(body{Error: bodyError{
		Message:  r.Message,
		Type:     errorType(r.Status),
		Code:     r.Code,
		RunState: r.RunState,
	}})
	return data
}

// errorType returns the error type that API clients expect for a status.
func errorType(status int) string {
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

// Write writes the refusal as the HTTP response.
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

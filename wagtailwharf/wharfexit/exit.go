package wharfexit

import (
	"errors"
	"net/http"

	"github.com/urfave/cli/v3"
)

// Exit codes of the command line.
const (
	OK         = 0
	Failure    = 1
	Usage      = 2
	NotRun     = 3 // the request was rejected and did not run
	Unknown    = 4 // the request may have run
	Conflict   = 5 // a concurrent change was accepted first
	NotInForce = 6 // accepted, but not yet confirmed by every host
)

// Error is an error with an exit code and an optional hint for the user.
type Error struct {
	Code int
	Err  error
	Hint string
}

// Error returns the message, followed by the hint on a line of its own.
func (e *Error) Error() string {
	if e.Hint == "" {
		return e.Err.Error()
	}
	return e.Err.Error() + "\n" + e.Hint
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// New returns an *Error with an exit code and a hint, which may be empty.
func New(code int, err error, hint string) error {
	return &Error{Code: code, Err: err, Hint: hint}
}

// UsageError returns an *Error with code Usage for missing or invalid arguments.
func UsageError(message, hint string) error {
	return New(Usage, errors.New(message), hint)
}

// CodeForStatus returns the exit code for the HTTP status and the run state of an error response.
func CodeForStatus(status int, runState string) int {
	switch {
	case status == http.StatusConflict:
		return Conflict
	case runState == "unknown":
		return Unknown
	case runState == "not-run":
		return NotRun
	}
	return Failure
}

// Code returns the exit code for an error: OK for nil and Failure for an error without a code.
func Code(err error) int {
	if err == nil {
		return OK
	}
	var exitErr *Error
	if errors.As(err, &exitErr) {
		return exitErr.Code
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return Failure
}

package wharfexit

import (
	"errors"
	"net/http"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	OK         = 0
	Failure    = 1
	Usage      = 2
	NotRun     = 3 // the request was refused and did not run
	Unknown    = 4 // whether the request ran is not known
	Conflict   = 5 // somebody else's change came first
	NotInForce = 6 // accepted, but not confirmed by every host yet
)

// Error is an error with an exit code and a hint of what to do next.
type Error struct {
	Code int
	Err  error
	Hint string
}

// Error returns the message and the hint.
func (e *Error) Error() string {
	if e.Hint == "" {
		return e.Err.Error()
	}
	return e.Err.Error() + "\n" + e.Hint
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// New returns an error with a code and a hint.
func New(code int, err error, hint string) error {
	return &Error{Code: code, Err: err, Hint: hint}
}

// UsageError returns an error about how a command was called.
func UsageError(message, hint string) error {
	return New(Usage, errors.New(message), hint)
}

// CodeForStatus returns the code for an HTTP status and a run state.
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

// Code returns the exit code of an error.
func Code(err error) int {
	if err == nil {
		return OK
	}
	var own *Error
	if errors.As(err, &own) {
		return own.Code
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return Failure
}

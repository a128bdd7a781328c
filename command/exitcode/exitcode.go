// Package exitcode defines the exit statuses of the commands and errors that carry
// one.
//
// # Usage
//
//	return exitcode.ViolationErrorf("3 answers were truncated")
//	os.Exit(int(exitcode.Of(err)))
package exitcode

import (
	"errors"
	"fmt"

	"heatherhub.example/heatherhub"
)

// Code is the exit status of a process.
type Code int

// Exit statuses.
const (
	// OK: the command succeeded.
	OK Code = 0
	// Failed: the command failed for a reason without a code of its own.
	Failed Code = 1
	// Usage: the command line, a setting or an input file is invalid.
	Usage Code = 2
	// Unavailable: nothing was changed; a retry may succeed.
	Unavailable Code = 3
	// Auth: the token is missing or wrong.
	Auth Code = 4
	// Conflict: the request conflicts with an earlier change; read the current state
	// before repeating.
	Conflict Code = 5
	// GuaranteeViolated: the demo or the load test found a violated guarantee, for
	// example a lost task or a truncated answer.
	GuaranteeViolated Code = 6
	// NotFound: the named object does not exist.
	NotFound Code = 7
	// Unknown: the change may have taken effect; check before repeating.
	Unknown Code = 8
)

// Help is the list of exit statuses in the help text.
const Help = `Exit status:
  0  done
  1  failed
  2  the command line, a setting, a declaration or a configuration is invalid
  3  nothing was done; an entry host or the store cannot be reached, try again
  4  the token is missing or wrong
  5  conflict with an earlier change; read the current version and repeat
  6  a guarantee was violated (demo, load)
  7  the named object does not exist
  8  the outcome is unknown; check before repeating`

// codeError is an error with an explicit exit status.
type codeError struct {
	code Code
	text string
}

// Error implements error.
func (e *codeError) Error() string {
	return e.text
}

// UsageErrorf returns an error with the status Usage.
func UsageErrorf(format string, args ...any) error {
	return &codeError{code: Usage, text: fmt.Sprintf(format, args...)}
}

// ViolationErrorf returns an error with the status GuaranteeViolated.
func ViolationErrorf(format string, args ...any) error {
	return &codeError{code: GuaranteeViolated, text: fmt.Sprintf(format, args...)}
}

var byCode = map[heatherhub.Code]Code{
	heatherhub.CodeInvalid:     Usage,
	heatherhub.CodeNotRun:      Unavailable,
	heatherhub.CodeUnavailable: Unavailable,
	heatherhub.CodeNotOwner:    Unavailable,
	heatherhub.CodeDenied:      Auth,
	heatherhub.CodeConflict:    Conflict,
	heatherhub.CodeNotFound:    NotFound,
}

// Of returns the exit status for an error: OK for nil, the explicit one of
// UsageErrorf and ViolationErrorf, else the one of its heatherhub.Code. Codes without
// a status give Unknown if the outcome is unknown, else Failed.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var e *codeError
	if errors.As(err, &e) {
		return e.code
	}
	if code, ok := byCode[heatherhub.CodeOf(err)]; ok {
		return code
	}
	if heatherhub.IsUnknown(err) {
		return Unknown
	}
	return Failed
}

// Package exitcode has the exit status of every command, and the errors that
// carry one.
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

// Code is the exit status of a command.
type Code int

// Exit statuses.
const (
	// OK says that the command did what it was asked to do.
	OK Code = 0
	// Failed says that the command failed for a reason that no other code has.
	Failed Code = 1
	// Usage says that the command line or an input file is wrong.
	Usage Code = 2
	// Unavailable says that nothing was done and that trying again may help.
	Unavailable Code = 3
	// Auth says that the token is missing or wrong.
	Auth Code = 4
	// Conflict says that another operator was first; read again.
	Conflict Code = 5
	// GuaranteeViolated says that a check found a promise broken.
	GuaranteeViolated Code = 6
	// NotFound says that the named thing does not exist.
	NotFound Code = 7
	// Unknown says that the change may have taken effect; look before repeating.
	Unknown Code = 8
)

// Help describes the codes for the help text.
const Help = `Exit status:
  0  done
  1  failed
  2  the command line, a setting or a declaration is wrong
  3  nothing was done; an entry host or the store cannot be reached, try again
  4  the token is missing or wrong
  5  another operator was first; read the version named and repeat
  6  a promise was broken (demo, load)
  7  the named thing does not exist
  8  the outcome is unknown; look before repeating`

// codeError is an error with its own exit status.
type codeError struct {
	code Code
	text string
}

// Error returns the message.
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

// Of returns the exit status for an error.
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

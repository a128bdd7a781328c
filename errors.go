package heatherhub

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of the scheduler's errors.
var Errors = errorx.NewNamespace("heatherhub")

// Typed errors. The message of each error says what to do about it.
var (
	// ErrInvalid means that the input is invalid. The request had no effect.
	ErrInvalid = Errors.NewType("invalid")
	// ErrNotRun means that the request certainly did not run.
	ErrNotRun = Errors.NewType("notRun")
	// ErrUnknown means that the request was sent and may have run.
	ErrUnknown = Errors.NewType("unknown")
	// ErrConflict means that another writer changed the data first: read it again
	// before retrying.
	ErrConflict = Errors.NewType("conflict")
	// ErrNotFound means that the requested object does not exist.
	ErrNotFound = Errors.NewType("notFound")
	// ErrUnavailable means that a required system cannot be reached. The request
	// had no effect.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrNotOwner means that this host does not own the shard. The request had no
	// effect.
	ErrNotOwner = Errors.NewType("notOwner")
	// ErrDenied means that the credentials are missing or wrong. The request had no
	// effect.
	ErrDenied = Errors.NewType("denied")
)

var retryAfterProperty = errorx.RegisterProperty("retryAfter")

// Code identifies an error's type on the wire.
type Code string

// Codes of the typed errors.
const (
	CodeOK          Code = ""
	CodeInvalid     Code = "invalid"
	CodeNotRun      Code = "notRun"
	CodeUnknown     Code = "unknown"
	CodeConflict    Code = "conflict"
	CodeNotFound    Code = "notFound"
	CodeUnavailable Code = "unavailable"
	CodeNotOwner    Code = "notOwner"
	CodeDenied      Code = "denied"
)

var typeByCode = map[Code]*errorx.Type{
	CodeInvalid:     ErrInvalid,
	CodeNotRun:      ErrNotRun,
	CodeUnknown:     ErrUnknown,
	CodeConflict:    ErrConflict,
	CodeNotFound:    ErrNotFound,
	CodeUnavailable: ErrUnavailable,
	CodeNotOwner:    ErrNotOwner,
	CodeDenied:      ErrDenied,
}

var codes = []Code{
	CodeInvalid, CodeNotRun, CodeUnknown, CodeConflict, CodeNotFound,
	CodeUnavailable, CodeNotOwner, CodeDenied,
}

// CodeOf returns the code of an error, and CodeOK for nil. For an error without a
// type of this package it returns CodeUnknown, as the request may have run.
func CodeOf(err error) Code {
	if err == nil {
		return CodeOK
	}
	var e *errorx.Error
	if !errors.As(err, &e) {
		return CodeUnknown
	}
	for _, code := range codes {
		if e.IsOfType(typeByCode[code]) {
			return code
		}
	}
	return CodeUnknown
}

// DidNotRun reports whether the error proves that the request did not run.
func DidNotRun(err error) bool {
	switch CodeOf(err) {
	case CodeInvalid, CodeNotRun, CodeConflict, CodeNotFound, CodeUnavailable, CodeNotOwner, CodeDenied:
		return true
	default:
		return false
	}
}

// ErrorFromCode rebuilds an error that was received over the wire. An unrecognized
// code becomes ErrUnknown.
func ErrorFromCode(code Code, message string, retryAfter time.Duration) error {
	if code == CodeOK {
		return nil
	}
	t, ok := typeByCode[code]
	if !ok {
		t = ErrUnknown
	}
	return WithRetryAfter(t.New("%s", message), retryAfter)
}

// WithRetryAfter attaches the time to wait before a retry. Zero or less attaches
// nothing.
func WithRetryAfter(err *errorx.Error, d time.Duration) *errorx.Error {
	if d <= 0 {
		return err
	}
	return err.WithProperty(retryAfterProperty, d)
}

// RetryAfter returns the time to wait before a retry, or zero if the error has none.
func RetryAfter(err error) time.Duration {
	var e *errorx.Error
	if !errors.As(err, &e) {
		return 0
	}
	v, ok := e.Property(retryAfterProperty)
	if !ok {
		return 0
	}
	d, _ := v.(time.Duration)
	return d
}

// Message returns an error's text without the name of its type.
func Message(err error) string {
	var e *errorx.Error
	if errors.As(err, &e) {
		return e.Message()
	}
	return err.Error()
}

// IsUnknown reports whether an error has the type ErrUnknown. CodeOf also returns
// CodeUnknown for errors without a type.
func IsUnknown(err error) bool {
	var e *errorx.Error
	return errors.As(err, &e) && e.IsOfType(ErrUnknown)
}

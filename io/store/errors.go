package store

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/engine/reach"
)

// The kinds of errors. Test for them with errors.Is.
var (
	// ErrConflict means that the object has another version than the condition of a write names.
	ErrConflict = errors.New("object has another version")
	// ErrAbsent means that the object does not exist.
	ErrAbsent = errors.New("object does not exist")
	// ErrUnavailable means that the platform did not answer or refused the call. A write had no effect.
	ErrUnavailable = errors.New("platform is not available")
	// ErrRateLimited means that the rate of calls is exceeded. Error.RetryAfter is set. A write had no effect.
	ErrRateLimited = errors.New("rate of platform calls is exceeded")
	// ErrUnknown means that the reply to a write was lost. The write may have had its effect.
	ErrUnknown = errors.New("effect of the platform write is unknown")
	// ErrTooLarge means that a value exceeds 1 MB or an answer its bound.
	ErrTooLarge = errors.New("value is too large for the platform")
	// ErrCompacted means that the history no longer has the events that a watch asks for. List again.
	ErrCompacted = errors.New("watch history is compacted")
	// ErrInvalid means that the call or its answer is malformed.
	ErrInvalid = errors.New("invalid platform call or answer")
)

// Error is the failure of one call.
type Error struct {
	// Kind is one of the kinds of errors above.
	Kind error
	// Call names the call, such as "put ledgers/07".
	Call string
	// RetryAfter is the wait that the platform asks for, or zero.
	RetryAfter time.Duration
	// Version is the current version of the object on ErrConflict. Zero means that it is absent or not known.
	Version ident.ObjectVersion
	// Err is the cause, or nil.
	Err error
}

// Error returns the call, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Call + ": " + e.Kind.Error()
	}
	return fmt.Sprintf("%s: %v: %v", e.Call, e.Kind, e.Err)
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Err == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Err}
}

// kinds maps the statuses that prove that a write had no effect. Any other status leaves the effect unknown.
var kinds = map[int]error{
	http.StatusBadRequest:            ErrInvalid,
	http.StatusNotFound:              ErrAbsent,
	http.StatusPreconditionFailed:    ErrConflict,
	http.StatusRequestEntityTooLarge: ErrTooLarge,
	http.StatusTooManyRequests:       ErrRateLimited,
	http.StatusServiceUnavailable:    ErrUnavailable,
	http.StatusGone:                  ErrCompacted,
}

// lost returns the error of a call that got no complete answer.
func lost(call string, write bool, err error) error {
	kind := ErrUnavailable
	if write && !errors.Is(err, reach.ErrNotSent) {
		kind = ErrUnknown
	}
	return &Error{Kind: kind, Call: call, Err: err}
}

package store

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/engine/send"
)

// The kinds of errors, for use with errors.Is.
var (
	// ErrConflict means that the stored object does not meet the condition of a write.
	ErrConflict = errors.New("object has another version")
	// ErrAbsent means that the object does not exist.
	ErrAbsent = errors.New("object does not exist")
	// ErrUnavailable means that the platform could not be reached, refused the call as unavailable, or did not completely
	// answer a read. A write had no effect.
	ErrUnavailable = errors.New("platform is not available")
	// ErrRateLimited means that the platform's rate limit is exceeded. Error.RetryAfter is the wait that the platform asks
	// for. A write had no effect.
	ErrRateLimited = errors.New("rate of platform calls is exceeded")
	// ErrUnknown means that the response to a write was lost or does not show whether the write had its effect.
	ErrUnknown = errors.New("effect of the platform write is unknown")
	// ErrTooLarge means that a value exceeds 1 MB or a response the size that the client reads.
	ErrTooLarge = errors.New("value is too large for the platform")
	// ErrCompacted means that the events that a watch asks for are no longer in the history. The caller lists the objects
	// again.
	ErrCompacted = errors.New("watch history is compacted")
	// ErrWatchCut means that the connection of a watch ended before its answer. It is also an ErrUnavailable, but the store may cut
	// off a watch at any time, so that it does not show that the store is unreachable.
	ErrWatchCut = errors.New("watch was cut off")
	// ErrInvalid means that the request or its response is malformed.
	ErrInvalid = errors.New("invalid platform call or answer")
)

// Error describes the failure of one call.
type Error struct {
	// Kind is one of the errors above.
	Kind error
	// Call names the call, such as "PUT ledgers/07".
	Call string
	// RetryAfter is the wait that the platform asks for, or zero.
	RetryAfter time.Duration
	// Version is the current version of the object, on ErrConflict and on ErrUnknown from PutResolved. Zero means that
	// the object is absent or the version is not known.
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

// kindByStatus maps the statuses that guarantee that a write had no effect. After any other status the effect is
// unknown.
var kindByStatus = map[int]error{
	http.StatusBadRequest:            ErrInvalid,
	http.StatusNotFound:              ErrAbsent,
	http.StatusPreconditionFailed:    ErrConflict,
	http.StatusRequestEntityTooLarge: ErrTooLarge,
	http.StatusTooManyRequests:       ErrRateLimited,
	http.StatusServiceUnavailable:    ErrUnavailable,
	http.StatusGone:                  ErrCompacted,
}

// noReplyError returns the error of a call without a complete response. A write that was not sent had no effect.
func noReplyError(call string, write bool, err error) error {
	kind := ErrUnavailable
	if write && !errors.Is(err, send.ErrNotSent) {
		kind = ErrUnknown
	}
	return &Error{Kind: kind, Call: call, Err: err}
}
